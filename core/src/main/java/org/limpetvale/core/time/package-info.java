/** Clocks and timers. */
package org.limpetvale.core.time;
