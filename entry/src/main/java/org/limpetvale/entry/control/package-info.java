/** Leases and the duties that they guard: start and stop orders, usage reports. */
package org.limpetvale.entry.control;
