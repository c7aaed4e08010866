/** The configuration and the upstreams, as followed from the store's tables. */
package org.limpetvale.forward.fleet;
