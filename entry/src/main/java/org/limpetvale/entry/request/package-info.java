/** The path of a request: key, class, claim, route, attempts, answer, usage. */
package org.limpetvale.entry.request;
