/** Last filter: what a request has used and how it ended. */
package org.limpetvale.entry.account;
