/** Request rates that upstreams ask the fleet to keep to, and pauses that they ask an entry for. */
package org.limpetvale.core.limit;
