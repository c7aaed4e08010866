/** An in-memory table and manual timers for exploring schedules in a single process. */
package org.limpetvale.entry.testing;
