/** Authenticates callers and operators. */
package org.limpetvale.entry.authenticate;
