/** Request rates that upstreams ask the whole fleet to keep to. */
package org.limpetvale.core.limit;
