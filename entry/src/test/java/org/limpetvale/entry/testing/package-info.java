/** A table in memory and timers by hand, for exploring interleavings without processes. */
package org.limpetvale.entry.testing;
