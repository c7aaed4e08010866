/** The retry budget that the entries of a fleet share. */
package org.limpetvale.core.retry;
