/** Code shared by the daemons: settings, transport security, metrics, identifiers. */
package org.limpetvale.daemon;
