/** Interfaces through which the forwarding daemon uses the platform that it runs on. */
package org.limpetvale.forward.spi;
