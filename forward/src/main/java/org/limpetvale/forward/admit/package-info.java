/** Filter between route and place: requests that wait at the entry until an engine has room. */
package org.limpetvale.forward.admit;
