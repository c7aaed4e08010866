package org.limpetvale.core.retry;

/**
 * The fraction of a fleet-wide allowance that one entry may use, and the data it was derived from.
 *
 * @param fraction usable fraction of the allowance, from 0 to 1
 * @param sharers number of entries that share the allowance, including this one
 * @param readAgeMillis time since the entries were last read; -1 if they never were
 */
public record AllowanceShare(double fraction, int sharers, long readAgeMillis) {
  public AllowanceShare {
    if (!(fraction >= 0 && fraction <= 1)) {
      throw new IllegalArgumentException("part is not between 0 and 1: " + fraction);
    }
  }

  /** Returns an empty share. */
  public static AllowanceShare none(int sharers, long readAgeMillis) {
    return new AllowanceShare(0, sharers, readAgeMillis);
  }

  /** Returns an equal share among the given number of entries. */
  public static AllowanceShare equal(int sharers, long readAgeMillis) {
    return new AllowanceShare(1.0 / Math.max(1, sharers), sharers, readAgeMillis);
  }
}
