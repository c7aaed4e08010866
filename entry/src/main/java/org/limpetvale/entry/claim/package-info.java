/** Calls that may not be repeated, and requests that crash upstreams: which may run. */
package org.limpetvale.entry.claim;
