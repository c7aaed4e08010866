package org.limpetvale.core.admission;

import java.util.Objects;

/**
 * A request that waits for a place at an upstream.
 *
 * @param ticket number of the request at this sidecar
 * @param workspace workspace of the request
 * @param requestClass class of the request
 * @param tier priority; 0 is the highest
 * @param arrivedMillis arrival on the sidecar's monotonic clock, in milliseconds
 * @param deadlineMillis latest start on the same clock, in milliseconds
 * @param estimatedTokens estimated tokens of prompt and answer
 * @param weight weight of the workspace in the fair share
 * @param floorShare share of tokens guaranteed to the class
 * @param overBudget whether the workspace runs on borrowed capacity
 * @param exclusive whether the request may run only alone among exclusive ones
 * @param startTag start tag of fair queueing, in tokens by weight
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

  /** Returns this request with its start tag. */
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
