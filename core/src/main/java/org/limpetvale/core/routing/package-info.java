/** Choice of an upstream for one attempt of a request, and the budget of retries. */
package org.limpetvale.core.routing;
