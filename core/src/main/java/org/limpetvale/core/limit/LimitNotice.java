package org.limpetvale.core.limit;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * What is known of an upstream's limit on the requests of all entries together.
 *
 * @param requestsPerSecond the limit; empty if the upstream names none any more
 * @param statedAtMillis when an entry received the response that says so, on the fleet's clock
 */
public record LimitNotice(OptionalDouble requestsPerSecond, long statedAtMillis) {
  /** Nothing was ever stated. */
  public static final LimitNotice NONE = new LimitNotice(OptionalDouble.empty(), Long.MIN_VALUE);

  public LimitNotice {
    Objects.requireNonNull(requestsPerSecond, "requestsPerSecond is null");
  }

  /** Returns a notice that names a limit. */
  public static LimitNotice of(double requestsPerSecond, long statedAtMillis) {
    return new LimitNotice(OptionalDouble.of(requestsPerSecond), statedAtMillis);
  }

  /** Returns a notice that a limit has ended. */
  public static LimitNotice ended(long statedAtMillis) {
    return new LimitNotice(OptionalDouble.empty(), statedAtMillis);
  }

  /**
   * Returns the notice after a response.
   *
   * <p>Responses overtake each other, so one without a limit ends the limit only if its request was
   * sent after the limit was last stated.
   *
   * @param stated what the response says
   * @param sentAtMillis when its request was sent, on the fleet's clock
   * @param nowMillis current time on the fleet's clock
   */
  public LimitNotice afterResponse(StatedLimit stated, long sentAtMillis, long nowMillis) {
    return switch (stated) {
      case StatedLimit.PerSecond(double perSecond) -> of(perSecond, nowMillis);
      case StatedLimit.None() ->
          isInForce() && sentAtMillis > statedAtMillis ? ended(nowMillis) : this;
      case StatedLimit.Unreadable(String ignored) -> this;
    };
  }

  /** Returns the later of this and another entry's notice; of two at the same time, the limit. */
  public LimitNotice laterOf(LimitNotice other) {
    boolean otherIsLater =
        other.statedAtMillis > statedAtMillis
            || other.statedAtMillis == statedAtMillis && other.isInForce();
    return otherIsLater ? other : this;
  }

  /** Returns whether a limit is in force. */
  public boolean isInForce() {
    return requestsPerSecond.isPresent();
  }
}
