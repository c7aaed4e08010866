package org.limpetvale.core.limit;

/**
 * What an upstream bears after its start: until it has warmed up, it gets few requests.
 *
 * @param durationMillis time after its start in which a process is cold
 * @param requestsPerSecond requests per second that a cold process serves; above 0
 */
public record ColdStart(long durationMillis, double requestsPerSecond) {
  public ColdStart {
    if (!(requestsPerSecond > 0)) {
      throw new IllegalArgumentException("not above 0: " + requestsPerSecond);
    }
  }

  /**
   * How far the requests of all entries may exceed the rate of a cold upstream in one second.
   *
   * @param overshoot factor on the rate
   * @param allowance requests on top
   */
  public record Bounds(double overshoot, double allowance) {
    /** Nothing above the rate. */
    public static final Bounds STRICT = new Bounds(1, 0);

    public Bounds {
      if (!(overshoot >= 0 && allowance >= 0)) {
        throw new IllegalArgumentException("below 0: " + overshoot + ", " + allowance);
      }
    }
  }

  /** Requests that any second may contain above the rate of turns of one request each. */
  private static final double MAX_EXCESS_REQUESTS = 2;

  /** Part of the bound that is used; the rest is for entries that count different members. */
  private static final double USED_SHARE = 0.75;

  /**
   * Returns the rate at which all entries together may send, in turns of one request each.
   *
   * <p>It is at most the rate that the upstream serves, and so far below the bound that the bound
   * holds in any second, also if one turn in four is taken by two entries.
   */
  public double sendRate(Bounds bounds) {
    double bound = requestsPerSecond * bounds.overshoot() + bounds.allowance();
    return Math.max(0, Math.min(requestsPerSecond, bound * USED_SHARE - MAX_EXCESS_REQUESTS));
  }

  /**
   * Returns how long a process is still cold.
   *
   * @param statedMillis what it says itself; negative if it says nothing that can be read
   * @param startedMillis when it started, 0 if unknown; decides if it says nothing
   * @param nowMillis current time on the same clock
   */
  public long remainingMillis(long statedMillis, long startedMillis, long nowMillis) {
    if (statedMillis >= 0) {
      return statedMillis;
    }
    long ageMillis = Math.max(0, nowMillis - startedMillis);
    return startedMillis == 0 ? 0 : Math.max(0, durationMillis - ageMillis);
  }
}
