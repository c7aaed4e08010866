/** Fakes of the platform and the upstreams, with fault injection at run time. */
package org.limpetvale.fakes;
