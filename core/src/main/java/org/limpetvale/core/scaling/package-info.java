/** How many upstreams of a service there should be, where their number can be ordered. */
package org.limpetvale.core.scaling;
