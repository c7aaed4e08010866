package org.limpetvale.core.admission;

import java.util.Objects;

/**
 * A request in the {@link AdmissionQueue} of an upstream.
 *
 * @param ticket identifies the request at this sidecar
 * @param workspace workspace of the request
 * @param requestClass class of the request
 * @param tier priority; 0 is the highest
 * @param arrivedMillis arrival time on the sidecar's monotonic clock, in milliseconds
 * @param deadlineMillis latest start time on the sidecar's monotonic clock, in milliseconds
 * @param estimatedTokens estimated tokens of prompt and completion
 * @param weight weight of the workspace in the fair share
 * @param floorShare share of the upstream's tokens guaranteed to the class
 * @param overBudget whether the workspace exceeds its token budget
 * @param exclusive whether the request must not run concurrently with another exclusive request
 * @param startTag start tag of start-time fair queueing, in tokens divided by weight
 */
public record QueuedRequest(
    long ticket,
    String workspace,
    String requestClass,
    int tier,
    long arrivedMillis,
    long deadlineMillis,
    long estimatedTokens,
    double weight,
    double floorShare,
    boolean overBudget,
    boolean exclusive,
    double startTag) {
  public QueuedRequest {
    Objects.requireNonNull(workspace, "workspace is null");
    Objects.requireNonNull(requestClass, "requestClass is null");
  }

  /** Returns a copy of this request with the given start tag. */
  QueuedRequest withStartTag(double tag) {
    return new QueuedRequest(
        ticket,
        workspace,
        requestClass,
        tier,
        arrivedMillis,
        deadlineMillis,
        estimatedTokens,
        weight,
        floorShare,
        overBudget,
        exclusive,
        tag);
  }
}
