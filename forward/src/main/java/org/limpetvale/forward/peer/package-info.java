/** Reports that entries exchange directly, such as usage counts, loads and recent placements. */
package org.limpetvale.forward.peer;
