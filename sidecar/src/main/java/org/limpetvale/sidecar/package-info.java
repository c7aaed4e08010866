/** The process beside each upstream: final admission, order, crash detection and stream buffer. */
package org.limpetvale.sidecar;
