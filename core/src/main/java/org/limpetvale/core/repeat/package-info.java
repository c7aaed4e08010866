/** Claims that prevent a non-idempotent call from running twice. */
package org.limpetvale.core.repeat;
