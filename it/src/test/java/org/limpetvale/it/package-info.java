/** Integration tests with real processes on loopback. */
package org.limpetvale.it;
