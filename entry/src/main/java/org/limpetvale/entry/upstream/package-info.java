/** Connections to sidecars and what is known of the upstreams. */
package org.limpetvale.entry.upstream;
