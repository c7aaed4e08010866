/** Time as a service that parts subscribe to. */
package org.limpetvale.core.time;
