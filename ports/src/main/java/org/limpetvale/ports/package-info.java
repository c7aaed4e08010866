/** Ports to the platform: table, object store, VM list, power control and usage reports. */
package org.limpetvale.ports;
