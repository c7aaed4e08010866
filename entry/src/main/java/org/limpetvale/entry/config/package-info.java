/** Reads, distributes and changes the configuration. */
package org.limpetvale.entry.config;
