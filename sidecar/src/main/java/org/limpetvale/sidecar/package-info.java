/**
 * The sidecar process next to each upstream: makes the final admission decision, orders the queue,
 * detects crashes and buffers streams.
 */
package org.limpetvale.sidecar;
