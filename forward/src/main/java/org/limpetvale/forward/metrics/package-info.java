/** Counters, gauges and latency histograms of the daemon, and the page that renders them. */
package org.limpetvale.forward.metrics;
