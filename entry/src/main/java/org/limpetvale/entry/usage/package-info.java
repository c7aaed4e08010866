/** Writes usage records to the table, recovers those of lost entries, and reports usage. */
package org.limpetvale.entry.usage;
