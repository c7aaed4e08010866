/** What entries tell each other directly: their usage counts and what they have sent where. */
package org.limpetvale.forward.peer;
