/** Third filter: the upstream of a request, from the load that this entry knows of. */
package org.limpetvale.forward.place;
