/** Claims that keep a call that may not be repeated from running twice. */
package org.limpetvale.core.repeat;
