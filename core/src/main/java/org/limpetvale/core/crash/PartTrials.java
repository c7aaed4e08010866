package org.limpetvale.core.crash;

import java.util.HashSet;
import java.util.Set;

/**
 * The trial of a blocked part: one request with it is sent some time after the block began. If all
 * upstreams crash for another reason, no answer can clear a sound part before they are back.
 */
final class PartTrials {
  /** Time until a part that was served before is tried; it is probably sound. */
  private static final long FAMILIAR_DELAY_MILLIS = 2_000;

  /** Time until a new part is tried; crashed upstreams are back by then. */
  private static final long NEW_DELAY_MILLIS = 10_000;

  /** Time after which a trial without a result is granted to another request. */
  private static final long RESULT_MILLIS = 10_000;

  /** Time for which the trial is one entry's; the others do not know when it was granted. */
  private static final long ROUND_MILLIS = 15_000;

  /** Holds a trial whose request was lost and whose upstream may have crashed. */
  private static final Object LOST_REQUEST = new Object();

  private final String part;
  private final long firstTrialMillis;
  private final Set<String> knownProcesses = new HashSet<>();
  private boolean failed;
  private Object holder;
  private long grantedMillis;

  PartTrials(PartCandidate candidate, long nowMillis) {
    this.part = candidate.part();
    this.firstTrialMillis =
        nowMillis + (candidate.familiar() ? FAMILIAR_DELAY_MILLIS : NEW_DELAY_MILLIS);
  }

  /** Returns whether a request may be sent as the trial. */
  boolean grant(Object request, CrashSuspects.TrialTurn isOwnTurn, long nowMillis) {
    if (failed || nowMillis < firstTrialMillis) {
      return false;
    }
    if (request.equals(holder)) {
      return true;
    }
    long round = (nowMillis - firstTrialMillis) / ROUND_MILLIS;
    boolean free = holder == null || nowMillis - grantedMillis > RESULT_MILLIS;
    if (!free || !isOwnTurn.isOwn(part, round)) {
      return false;
    }
    holder = request;
    grantedMillis = nowMillis;
    return true;
  }

  /** Frees the trial if it is held by a request, which was not sent. */
  void release(Object request) {
    if (request.equals(holder)) {
      holder = null;
    }
  }

  /** Records that a request with the part was lost; if it was the trial, it is not sent again. */
  void requestLost(long nowMillis) {
    if (holder != null) {
      holder = LOST_REQUEST;
      grantedMillis = nowMillis;
    }
  }

  /**
   * Notes the crashes known now. One that becomes known after the first trial was due is a failed
   * trial, here or at another entry; those before it come from requests that were sent already.
   */
  void noteCrashes(PartCandidate candidate, long nowMillis) {
    boolean grown = knownProcesses.addAll(candidate.crashes().keySet());
    failed |= grown && nowMillis >= firstTrialMillis;
  }

  boolean hasFailed() {
    return failed;
  }
}
