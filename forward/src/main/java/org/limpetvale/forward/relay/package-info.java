/** Last filters: attempts at upstreams, their answers, and the way back to the caller. */
package org.limpetvale.forward.relay;
