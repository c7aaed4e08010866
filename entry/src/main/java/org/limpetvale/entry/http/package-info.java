/** The HTTP interfaces for callers and operators. */
package org.limpetvale.entry.http;
