/** Routes, services, workspaces and upstreams of a fleet, as immutable snapshots. */
package org.limpetvale.core.fleet;
