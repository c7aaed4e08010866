/** Duties that one entry at a time performs under a lease: usage reports and scaling. */
package org.limpetvale.forward.duty;
