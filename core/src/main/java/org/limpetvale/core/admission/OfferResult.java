package org.limpetvale.core.admission;

import java.util.Optional;

/** The result of offering a request to an {@link AdmissionQueue}. */
public sealed interface OfferResult {

  /**
   * The request was queued.
   *
   * @param queue the queue with the request
   * @param displaced the request that was evicted to make room, if any
   */
  record Queued(AdmissionQueue queue, Optional<QueuedRequest> displaced) implements OfferResult {}

  /**
   * The queue is full and holds only requests of the same or higher precedence.
   *
   * @param retryAfterMillis delay after which the queue is likely to have room, in milliseconds
   */
  record Full(long retryAfterMillis) implements OfferResult {}

  /**
   * The predicted wait exceeds the request's deadline.
   *
   * @param retryAfterMillis delay after which the wait is likely to be short enough, in
   *     milliseconds
   */
  record TooLate(long retryAfterMillis) implements OfferResult {}
}
