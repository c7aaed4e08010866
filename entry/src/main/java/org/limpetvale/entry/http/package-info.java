/** The callers' and operators' interfaces. */
package org.limpetvale.entry.http;
