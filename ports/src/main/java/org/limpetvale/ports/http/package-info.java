/** Adapters that implement the platform's ports with JSON over HTTP. */
package org.limpetvale.ports.http;
