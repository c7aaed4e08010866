package org.limpetvale.core.crash;

import java.util.Objects;

/**
 * A request that ran when an upstream crashed.
 *
 * @param digest keyed digest of workspace and body
 * @param crashes upstreams that crashed while they ran it
 * @param trialHolder attempt that runs it again now; empty when none does
 */
public record Suspect(String digest, int crashes, String trialHolder) {
  /** Crashes after which the request is not run again. */
  public static final int MAX_CRASHES = 2;

  public Suspect {
    Objects.requireNonNull(digest, "digest is null");
    Objects.requireNonNull(trialHolder, "trialHolder is null");
  }

  /** Returns a suspect after its first crash. */
  public static Suspect afterFirstCrash(String digest) {
    return new Suspect(digest, 1, "");
  }

  /** Tells whether the request is refused for good. */
  public boolean reachedCrashLimit() {
    return crashes >= MAX_CRASHES;
  }

  /** Returns the suspect after one more crash. */
  public Suspect withAnotherCrash() {
    return new Suspect(digest, crashes + 1, "");
  }

  /** Returns the suspect with its trial taken by an attempt. */
  public Suspect withTrialHolder(String holder) {
    return new Suspect(digest, crashes, holder);
  }
}
