/** What requests leave behind: usage by workspace and window, and the retry budget. */
package org.limpetvale.forward.account;
