package org.limpetvale.core.retry;

/**
 * The part of a fleet-wide allowance that one entry may use, and what it rests on.
 *
 * @param fraction from 0 to 1
 * @param sharers entries that are counted as sharing the allowance, this one included
 * @param readAgeMillis time since the entries were last read; -1 when they never were
 */
public record AllowanceShare(double fraction, int sharers, long readAgeMillis) {
  public AllowanceShare {
    if (!(fraction >= 0 && fraction <= 1)) {
      throw new IllegalArgumentException("part is not between 0 and 1: " + fraction);
    }
  }

  /** Returns no part. */
  public static AllowanceShare none(int sharers, long readAgeMillis) {
    return new AllowanceShare(0, sharers, readAgeMillis);
  }

  /** Returns an even part among a number of entries. */
  public static AllowanceShare equal(int sharers, long readAgeMillis) {
    return new AllowanceShare(1.0 / Math.max(1, sharers), sharers, readAgeMillis);
  }
}
