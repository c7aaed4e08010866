/** Queueing by tier, fair share and floors at one upstream. */
package org.limpetvale.core.admission;
