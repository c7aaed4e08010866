/** Chooses an upstream for one attempt of a request, and limits retries. */
package org.limpetvale.core.routing;
