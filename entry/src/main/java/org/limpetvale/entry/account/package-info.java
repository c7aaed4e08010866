/** Records the outcome and the billable usage of requests. */
package org.limpetvale.entry.account;
