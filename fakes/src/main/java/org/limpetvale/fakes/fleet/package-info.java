/** A fleet of real processes on loopback, for the demonstration, the proofs and measurements. */
package org.limpetvale.fakes.fleet;
