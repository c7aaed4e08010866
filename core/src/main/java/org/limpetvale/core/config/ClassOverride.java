package org.limpetvale.core.config;

import java.util.Optional;

/**
 * A workspace's own values for a request class; an absent value takes the template's.
 *
 * @param tier priority; not above the template's
 * @param firstTokenTargetMillis target for the first token, in milliseconds
 * @param maxTokens most tokens of an answer; not above the template's
 */
public record ClassOverride(
    Optional<Integer> tier, Optional<Long> firstTokenTargetMillis, Optional<Integer> maxTokens) {
  public ClassOverride {
    tier = tier == null ? Optional.empty() : tier;
    firstTokenTargetMillis =
        firstTokenTargetMillis == null ? Optional.empty() : firstTokenTargetMillis;
    maxTokens = maxTokens == null ? Optional.empty() : maxTokens;
  }

  /** Returns the template's class with the values of this override. */
  RequestClass applyTo(RequestClass base) {
    return new RequestClass(
        tier.orElse(base.tier()),
        firstTokenTargetMillis.orElse(base.firstTokenTargetMillis()),
        base.tokenGapTargetMillis(),
        base.maxWaitMillis(),
        base.floorShare(),
        maxTokens.orElse(base.maxTokens()));
  }
}
