/** Chooses the upstream for a request from the load of the upstreams as known to the entry. */
package org.limpetvale.core.placement;
