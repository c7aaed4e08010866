/** Second filter: the route of a request and the workspace that it runs for. */
package org.limpetvale.forward.route;
