/** Structured log lines on standard output, bounded in rate and never blocking the caller. */
package org.limpetvale.forward.log;
