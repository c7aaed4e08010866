/** The entry daemon. */
package org.limpetvale.entry;
