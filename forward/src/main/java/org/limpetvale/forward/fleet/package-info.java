/** What the daemon knows of the configuration, the upstreams and the other entries. */
package org.limpetvale.forward.fleet;
