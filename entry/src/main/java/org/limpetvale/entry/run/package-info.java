/** Runs requests: their attempts, retries and results. */
package org.limpetvale.entry.run;
