/** Admission control: request queues of upstreams and dispatch rules of entries. */
package org.limpetvale.core.admission;
