/** Counters and latency histograms of the daemon, and the page that shows them. */
package org.limpetvale.forward.metrics;
