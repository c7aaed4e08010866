/** Leases with fencing numbers, and the claim that precedes each order. */
package org.limpetvale.core.lease;
