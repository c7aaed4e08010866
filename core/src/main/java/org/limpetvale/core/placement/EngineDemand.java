package org.limpetvale.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How much the engines of a service are asked to do, per engine, estimated from the requests that
 * one entry sends and from the number of entries.
 *
 * <p>Not thread-safe.
 */
public final class EngineDemand {
  /** Time after which the weight of a request in the rates has fallen to about a third. */
  private static final double DECAY_MILLIS = 3_000;

  /** Interval at which the tokens written so far are remembered. */
  private static final long SAMPLE_INTERVAL_MILLIS = 250;

  /** Samples that are remembered, which is two minutes of them. */
  private static final int MAX_SAMPLES = 480;

  private final Deque<Sample> samples = new ArrayDeque<>();
  private double writtenTokens;
  private double requestsPerMilli;
  private double readTokensPerMilli;
  private long updatedMillis = Long.MIN_VALUE;

  /** The tokens written to an engine until a time. */
  private record Sample(long atMillis, double writtenTokens) {}

  /**
   * The demand on one engine at a time.
   *
   * @param requestsPerMilli requests that it is sent
   * @param readTokensPerMilli prompt tokens that it has to read because they are not cached
   */
  public record Rates(double requestsPerMilli, double readTokensPerMilli) {
    /** No demand. */
    public static final Rates NONE = new Rates(0, 0);
  }

  private EngineDemand() {}

  /** Returns an instance without requests. */
  public static EngineDemand empty() {
    return new EngineDemand();
  }

  /**
   * Records a request of this entry.
   *
   * @param readTokens prompt tokens that its engine has to read
   * @param outputTokens maximum number of tokens in the answer
   * @param weight number of entries divided by the number of engines, which turns the requests of
   *     this entry into those of one engine
   * @param nowMillis monotonic time
   */
  public void requestSent(int readTokens, int outputTokens, double weight, long nowMillis) {
    decay(nowMillis);
    requestsPerMilli += weight / DECAY_MILLIS;
    readTokensPerMilli += weight * readTokens / DECAY_MILLIS;
    sample(nowMillis);
    writtenTokens += weight * (readTokens + outputTokens);
  }

  /** Returns the rates at a monotonic time. */
  public Rates rates(long nowMillis) {
    double share = decayShare(nowMillis);
    return new Rates(requestsPerMilli * share, readTokensPerMilli * share);
  }

  /** Returns the tokens that were written to an engine since a monotonic time. */
  public double writtenSince(long sinceMillis) {
    double before = samples.isEmpty() ? writtenTokens : samples.getFirst().writtenTokens();
    var newestFirst = samples.descendingIterator();
    while (newestFirst.hasNext()) {
      Sample sample = newestFirst.next();
      if (sample.atMillis() <= sinceMillis) {
        before = sample.writtenTokens();
        break;
      }
    }
    return writtenTokens - before;
  }

  private void sample(long nowMillis) {
    if (samples.isEmpty() || nowMillis - samples.getLast().atMillis() >= SAMPLE_INTERVAL_MILLIS) {
      samples.addLast(new Sample(nowMillis, writtenTokens));
    }
    if (samples.size() > MAX_SAMPLES) {
      samples.removeFirst();
    }
  }

  private void decay(long nowMillis) {
    double share = decayShare(nowMillis);
    requestsPerMilli *= share;
    readTokensPerMilli *= share;
    updatedMillis = nowMillis;
  }

  private double decayShare(long nowMillis) {
    return updatedMillis == Long.MIN_VALUE
        ? 1
        : Math.exp(-Math.max(0, nowMillis - updatedMillis) / DECAY_MILLIS);
  }
}
