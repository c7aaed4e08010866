package org.limpetvale.core.config;

import java.util.Optional;

/**
 * A workspace's overrides for a request class; absent values are taken from the template.
 *
 * @param tier priority; must not be higher than the template's
 * @param firstTokenTargetMillis latency target for the first token, in milliseconds; must not be
 *     shorter than the template's
 * @param maxTokens maximum completion tokens; must not exceed the template's
 */
public record ClassOverride(
    Optional<Integer> tier, Optional<Long> firstTokenTargetMillis, Optional<Integer> maxTokens) {
  public ClassOverride {
    tier = tier == null ? Optional.empty() : tier;
    firstTokenTargetMillis =
        firstTokenTargetMillis == null ? Optional.empty() : firstTokenTargetMillis;
    maxTokens = maxTokens == null ? Optional.empty() : maxTokens;
  }

  /** Returns the given request class with the values of this override applied. */
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
