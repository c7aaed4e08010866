/** The configuration in force: reading, exchanging with peers and changing it. */
package org.limpetvale.entry.config;
