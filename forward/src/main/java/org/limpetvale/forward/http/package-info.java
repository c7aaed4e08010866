/** Transport and a small HTTP client for the daemon's own calls. */
package org.limpetvale.forward.http;
