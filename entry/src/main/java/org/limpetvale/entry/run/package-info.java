/** A request from its first attempt to the end of its answer. */
package org.limpetvale.entry.run;
