/** Timers on threads. */
package org.limpetvale.ports.time;
