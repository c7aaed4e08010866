/** Adapters of the platform's ports over HTTP and JSON. */
package org.limpetvale.ports.http;
