package org.limpetvale.core.crash;

import java.util.Objects;

/**
 * A crash of an upstream process that was running a request with a suspected prompt part.
 *
 * @param process short id of the process
 * @param request short digest of the request
 * @param sentAfterLoss whether the request was sent when its entry already knew of another lost
 *     request with the part. Requests that many upstreams lose at the same moment were sent before.
 */
public record PartCrash(String process, String request, boolean sentAfterLoss) {
  public PartCrash {
    Objects.requireNonNull(process, "process is null");
    Objects.requireNonNull(request, "request is null");
  }

  /** Returns the stronger evidence of two about the same process. */
  static PartCrash merge(PartCrash first, PartCrash second) {
    return first.sentAfterLoss() ? first : second;
  }
}
