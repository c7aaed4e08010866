/** Leases with fencing tokens, orders that are claimed before they are sent, and scaling. */
package org.limpetvale.core.lease;
