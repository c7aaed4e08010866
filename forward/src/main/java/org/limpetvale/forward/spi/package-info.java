/** What the forwarding daemon needs from the platform that it runs on, as typed interfaces. */
package org.limpetvale.forward.spi;
