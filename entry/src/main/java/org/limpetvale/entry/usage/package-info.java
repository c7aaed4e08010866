/** Usage records on their way to the table and to the reports. */
package org.limpetvale.entry.usage;
