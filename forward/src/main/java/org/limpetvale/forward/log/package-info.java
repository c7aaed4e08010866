/** Structured log lines on standard output, rate-limited and without blocking the caller. */
package org.limpetvale.forward.log;
