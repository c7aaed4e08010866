/** Selection of upstreams, token budgets and retry budgets. */
package org.limpetvale.entry.route;
