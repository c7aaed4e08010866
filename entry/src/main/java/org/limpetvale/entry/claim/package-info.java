/** Decides whether non-repeatable calls and requests that crashed upstreams may run. */
package org.limpetvale.entry.claim;
