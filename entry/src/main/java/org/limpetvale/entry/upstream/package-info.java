/** Connections to sidecars, and the state of the upstreams that they report. */
package org.limpetvale.entry.upstream;
