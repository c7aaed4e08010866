/** Versions of a store that may come back from an older copy. */
package org.limpetvale.core.store;
