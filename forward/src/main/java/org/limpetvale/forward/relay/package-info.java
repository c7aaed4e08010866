/**
 * Sends requests to upstreams, retries them where allowed, and relays the responses to the callers.
 */
package org.limpetvale.forward.relay;
