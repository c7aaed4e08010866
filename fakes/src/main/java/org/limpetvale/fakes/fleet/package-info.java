/** A fleet of real processes on loopback for the demo, integration tests and measurements. */
package org.limpetvale.fakes.fleet;
