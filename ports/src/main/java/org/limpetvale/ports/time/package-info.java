/** Timer service on JDK threads. */
package org.limpetvale.ports.time;
