/** Test doubles for time, processes and the store, for tests without real waits. */
package org.limpetvale.forward.testing;
