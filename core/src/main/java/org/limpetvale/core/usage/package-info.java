/** Usage records, windows and their reports. */
package org.limpetvale.core.usage;
