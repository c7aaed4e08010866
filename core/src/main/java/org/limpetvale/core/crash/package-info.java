/** Requests suspected of crashing their upstream. */
package org.limpetvale.core.crash;
