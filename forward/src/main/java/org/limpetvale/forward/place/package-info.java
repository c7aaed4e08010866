/**
 * Placement, the third stage: chooses the upstream of a request from the load known to this entry.
 */
package org.limpetvale.forward.place;
