/** Determines the number of upstreams of a service where it can be scaled. */
package org.limpetvale.core.scaling;
