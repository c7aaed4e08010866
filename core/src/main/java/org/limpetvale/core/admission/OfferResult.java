package org.limpetvale.core.admission;

import java.util.Optional;

/** The answer to a request that asks for a place in the queue. */
public sealed interface OfferResult {

  /**
   * The request waits in the queue.
   *
   * @param queue the queue after the offer
   * @param displaced the queued request that gave up its place, if one had to
   */
  record Queued(AdmissionQueue queue, Optional<QueuedRequest> displaced) implements OfferResult {}

  /**
   * The queue is full of requests with the same or more precedence.
   *
   * @param retryAfterMillis when a place is likely to be free, in milliseconds
   */
  record Full(long retryAfterMillis) implements OfferResult {}

  /**
   * The request could not start before its deadline.
   *
   * @param retryAfterMillis when the wait is likely to be short enough, in milliseconds
   */
  record TooLate(long retryAfterMillis) implements OfferResult {}
}
