package org.limpetvale.core.crash;

import java.util.Objects;

/**
 * A crash of an upstream process that was running a request with a suspected prompt part.
 *
 * @param process short id of the process
 * @param request short digest of the request
 * @param lostRequests number of requests with the part that were lost with the process; 0 if only
 *     other entries know of them
 * @param sentAfterLoss whether the request was sent when its entry already knew of another lost
 *     request with the part. Requests that many upstreams lose at the same moment were sent before.
 */
public record PartCrash(String process, String request, int lostRequests, boolean sentAfterLoss) {
  public PartCrash {
    Objects.requireNonNull(process, "process is null");
    Objects.requireNonNull(request, "request is null");
  }

  /** Returns the evidence of different requests, or of two entries, about the same process. */
  static PartCrash add(PartCrash first, PartCrash second) {
    return join(first, second, first.lostRequests() + second.lostRequests());
  }

  /** Returns the evidence of two reports of one entry about the same process. */
  static PartCrash latest(PartCrash first, PartCrash second) {
    return join(first, second, Math.max(first.lostRequests(), second.lostRequests()));
  }

  private static PartCrash join(PartCrash first, PartCrash second, int lostRequests) {
    PartCrash stronger = first.sentAfterLoss() ? first : second;
    return new PartCrash(
        first.process(), stronger.request(), lostRequests, stronger.sentAfterLoss());
  }

  /** Returns the crash as known from other entries, whose requests are not counted twice. */
  PartCrash fromOthers() {
    return new PartCrash(process, request, 0, sentAfterLoss);
  }
}
