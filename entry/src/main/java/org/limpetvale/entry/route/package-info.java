/** The upstream of a request, and the budgets of its attempts. */
package org.limpetvale.entry.route;
