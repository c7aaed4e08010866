package org.limpetvale.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * How many tokens were written to the memory of an engine of a service, on average, estimated from
 * the requests that one entry sends and from the number of entries.
 *
 * <p>Not thread-safe.
 */
public final class WrittenTokens {
  /** Interval at which the tokens written so far are remembered. */
  private static final long SAMPLE_INTERVAL_MILLIS = 250;

  /** Samples that are remembered, which is two minutes of them. */
  private static final int MAX_SAMPLES = 480;

  private final Deque<Sample> samples = new ArrayDeque<>();
  private double tokens;

  /** The tokens written to an engine until a time. */
  private record Sample(long atMillis, double tokens) {}

  private WrittenTokens() {}

  /** Returns an instance without requests. */
  public static WrittenTokens empty() {
    return new WrittenTokens();
  }

  /**
   * Records a request of this entry.
   *
   * @param requestTokens tokens that its engine has to read and may produce
   * @param weight number of entries divided by the number of engines, which turns the requests of
   *     this entry into those of one engine
   * @param nowMillis monotonic time
   */
  public void requestSent(int requestTokens, double weight, long nowMillis) {
    if (samples.isEmpty() || nowMillis - samples.getLast().atMillis() >= SAMPLE_INTERVAL_MILLIS) {
      samples.addLast(new Sample(nowMillis, tokens));
    }
    if (samples.size() > MAX_SAMPLES) {
      samples.removeFirst();
    }
    tokens += weight * requestTokens;
  }

  /** Returns the tokens that were written to an engine since a monotonic time. */
  public double since(long sinceMillis) {
    Iterator<Sample> newestFirst = samples.descendingIterator();
    double before = samples.isEmpty() ? tokens : samples.getFirst().tokens();
    while (newestFirst.hasNext()) {
      Sample sample = newestFirst.next();
      if (sample.atMillis() <= sinceMillis) {
        before = sample.tokens();
        break;
      }
    }
    return tokens - before;
  }
}
