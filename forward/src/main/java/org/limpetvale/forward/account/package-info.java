/** Accounting of requests: usage by workspace and window, and the retry budget. */
package org.limpetvale.forward.account;
