/** First filter behind the callers' interface: whose request it is. */
package org.limpetvale.entry.authenticate;
