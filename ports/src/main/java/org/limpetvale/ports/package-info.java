/** Ports to the platform: table, object store, VM list, start and stop, usage reports. */
package org.limpetvale.ports;
