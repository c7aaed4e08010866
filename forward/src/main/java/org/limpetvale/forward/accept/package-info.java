/** Accepts callers' connections, enforces the limits on their input, and writes the responses. */
package org.limpetvale.forward.accept;
