package org.limpetvale.core.placement;

/** The chance that an engine still holds a prompt part that it read. */
@FunctionalInterface
public interface CopyChance {
  /**
   * Returns the chance, from 0 to 1.
   *
   * @param readMillis monotonic time at which the part was last sent to the engine
   */
  double of(long readMillis);

  /**
   * Returns a chance that is certain for a time and zero after it.
   *
   * @param nowMillis monotonic time
   * @param retentionMillis time for which a part counts as held
   */
  static CopyChance certainFor(long retentionMillis, long nowMillis) {
    return readMillis -> nowMillis - readMillis <= retentionMillis ? 1 : 0;
  }
}
