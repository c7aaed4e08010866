/** How many repeats the entries of a fleet may send together. */
package org.limpetvale.core.retry;
