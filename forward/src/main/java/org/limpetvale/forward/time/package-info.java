/** Time on the daemon's event loop. */
package org.limpetvale.forward.time;
