/**
 * Admission, between routing and placement: requests that wait at the entry for engine capacity,
 * and requests that are blocked because they crash upstreams.
 */
package org.limpetvale.forward.admit;
