/** Time and a store for tests without waiting. */
package org.limpetvale.forward.testing;
