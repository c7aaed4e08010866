package org.limpetvale.core.store;

/**
 * A version of a store or of one of its rows.
 *
 * <p>A store that comes back from an older copy continues with the copy's version and gives later
 * ones out again. It then begins a new era, so a number identifies a version only together with its
 * era. Every version of a later era is newer than all versions of an earlier one, whatever the
 * numbers.
 *
 * @param era number of times that the store has come back from an older copy
 * @param number version within the era; 0 for a row that does not exist
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {
  /** The version of a store of which nothing has been read. */
  public static final StoreVersion NONE = new StoreVersion(0, 0);

  /** Returns a version of a store that never comes back from a copy. */
  public static StoreVersion of(long number) {
    return new StoreVersion(0, number);
  }

  /** Returns the version that a row has in an era if it does not exist. */
  public static StoreVersion absentIn(long era) {
    return new StoreVersion(era, 0);
  }

  /** Returns whether this version is older than another. */
  public boolean isBefore(StoreVersion other) {
    return compareTo(other) < 0;
  }

  /** Returns whether this version belongs to an earlier era than another. */
  public boolean isOfEarlierEraThan(StoreVersion other) {
    return era < other.era;
  }

  @Override
  public int compareTo(StoreVersion other) {
    return era == other.era ? Long.compare(number, other.number) : Long.compare(era, other.era);
  }
}
