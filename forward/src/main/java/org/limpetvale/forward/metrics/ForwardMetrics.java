package org.limpetvale.forward.metrics;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;
import org.HdrHistogram.Recorder;

/** The counters and histograms of a forwarding daemon. */
public final class ForwardMetrics {
  private static final long LONGEST_MILLIS = 120_000;
  private static final int DIGITS = 2;

  /** What is counted. */
  public enum Counter {
    REQUESTS,
    SERVED,
    REFUSED,
    FAILED,
    CALLERS_GONE,
    ATTEMPTS,
    RETRIES,
    RETRIES_DENIED,
    RESUMES,
    CONNECTS_FAILED,
    ANSWERS_SPOILED
  }

  private final Map<Counter, LongAdder> counters = new EnumMap<>(Counter.class);
  private final Recorder firstByte = new Recorder(LONGEST_MILLIS, DIGITS);
  private final Recorder whole = new Recorder(LONGEST_MILLIS, DIGITS);
  private final AtomicReference<DoubleSupplier> openConnections = new AtomicReference<>(() -> 0);

  private ForwardMetrics() {
    for (Counter counter : Counter.values()) {
      counters.put(counter, new LongAdder());
    }
  }

  /** Returns metrics that have counted nothing. */
  public static ForwardMetrics empty() {
    return new ForwardMetrics();
  }

  /** Counts one. */
  public void count(Counter counter) {
    counters.get(counter).increment();
  }

  /** Notes the time from a request's arrival to the first byte of its answer. */
  public void firstByte(long millis) {
    firstByte.recordValue(bounded(millis));
  }

  /** Notes the time from a request's arrival to the end of its answer. */
  public void whole(long millis) {
    whole.recordValue(bounded(millis));
  }

  /** Sets where the number of open connections is read from. */
  public void openConnections(DoubleSupplier source) {
    openConnections.set(source);
  }

  // -- for the page

  long value(Counter counter) {
    return counters.get(counter).sum();
  }

  double openConnections() {
    return openConnections.get().getAsDouble();
  }

  Recorder firstByteRecorder() {
    return firstByte;
  }

  Recorder wholeRecorder() {
    return whole;
  }

  static String name(Counter counter) {
    return "limpetvale_" + counter.name().toLowerCase(Locale.ROOT);
  }

  private static long bounded(long millis) {
    return Math.max(0, Math.min(LONGEST_MILLIS, millis));
  }
}
