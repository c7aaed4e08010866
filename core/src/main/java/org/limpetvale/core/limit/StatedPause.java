package org.limpetvale.core.limit;

import java.util.Objects;

/** How long an upstream that refuses a request wants no further ones from the same entry. */
public sealed interface StatedPause {
  /** The response asks for no pause. */
  StatedPause NONE = new None();

  /**
   * Longest pause that is kept. An upstream that asks for more is asked again afterwards, by a
   * single request, so that a mistaken value does not take it out of use for good.
   */
  long MAX_MILLIS = 300_000;

  /** The response asks for no pause. */
  record None() implements StatedPause {}

  /** The response asks for a pause of a duration. */
  record ForMillis(long millis) implements StatedPause {}

  /** The response asks for a pause until a time of day. */
  record Until(long wallMillis) implements StatedPause {}

  /**
   * The response asks for a pause that cannot be understood.
   *
   * @param text the start of what the response says
   */
  record Unreadable(String text) implements StatedPause {
    public Unreadable {
      Objects.requireNonNull(text, "text is null");
    }
  }

  /**
   * Returns the length of the pause, from 0 to {@link #MAX_MILLIS}.
   *
   * @param nowWallMillis current time of day
   */
  default long millis(long nowWallMillis) {
    long asked =
        switch (this) {
          case ForMillis(long millis) -> millis;
          case Until(long wallMillis) -> wallMillis - nowWallMillis;
          case None() -> 0;
          case Unreadable(String ignored) -> 0;
        };
    return Math.clamp(asked, 0, MAX_MILLIS);
  }
}
