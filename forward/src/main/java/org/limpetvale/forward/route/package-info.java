/** Routing, the second stage: finds the route and the workspace of a request. */
package org.limpetvale.forward.route;
