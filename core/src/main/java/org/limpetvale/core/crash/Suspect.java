package org.limpetvale.core.crash;

import java.util.Objects;

/**
 * A request that was running when an upstream crashed.
 *
 * @param digest keyed digest of workspace and body
 * @param crashes number of upstreams that crashed while running the request
 * @param trialHolder attempt that currently retries the request; empty if there is none
 */
public record Suspect(String digest, int crashes, String trialHolder) {
  /** Number of crashes after which the request is not run again. */
  public static final int MAX_CRASHES = 2;

  public Suspect {
    Objects.requireNonNull(digest, "digest is null");
    Objects.requireNonNull(trialHolder, "trialHolder is null");
  }

  /** Returns a suspect with one crash. */
  public static Suspect afterFirstCrash(String digest) {
    return new Suspect(digest, 1, "");
  }

  /** Returns whether the request has reached the crash limit and must not run again. */
  public boolean reachedCrashLimit() {
    return crashes >= MAX_CRASHES;
  }

  /** Returns this suspect with one more crash and no trial holder. */
  public Suspect withAnotherCrash() {
    return new Suspect(digest, crashes + 1, "");
  }

  /** Returns this suspect with its trial held by the given attempt. */
  public Suspect withTrialHolder(String holder) {
    return new Suspect(digest, crashes, holder);
  }
}
