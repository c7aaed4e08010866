/** Timers on the daemon's event loop and the fleet's time of day. */
package org.limpetvale.forward.time;
