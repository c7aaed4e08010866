/** Detection of requests that crash their upstreams. */
package org.limpetvale.core.crash;
