/** Chooses the upstream of a request from what its entry knows of the upstreams' load. */
package org.limpetvale.core.placement;
