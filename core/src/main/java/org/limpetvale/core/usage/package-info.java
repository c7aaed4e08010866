/** Usage records, batches and reporting windows. */
package org.limpetvale.core.usage;
