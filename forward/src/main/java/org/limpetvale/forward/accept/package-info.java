/** First filter: connections of callers, the limits on what they send, and how answers leave. */
package org.limpetvale.forward.accept;
