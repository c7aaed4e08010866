/**
 * The network transport, an HTTP client for the daemon's own calls and a plain-text HTTP server.
 */
package org.limpetvale.forward.http;
