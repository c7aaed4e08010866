/** Strict reading of JSON that other processes write. */
package org.limpetvale.forward.json;
