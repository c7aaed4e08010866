/** Stand-ins for the platform and the upstreams, with faults commanded while they run. */
package org.limpetvale.fakes;
