/** Leases and the control duties that they protect: power orders and usage reports. */
package org.limpetvale.entry.control;
