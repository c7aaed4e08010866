/** Parts that the daemons share: settings, transport security, metrics, identifiers. */
package org.limpetvale.daemon;
