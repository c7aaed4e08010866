package org.limpetvale.forward.metrics;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
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

  /** What rises and falls. */
  public enum Level {
    OPEN_CONNECTIONS,
    /** Entries that are counted as sharing the retry budget. */
    RETRY_SHARERS,
    /** This entry's part of the retry allowance, from 0 to 1. */
    RETRY_ALLOWANCE_PART,
    /** Time since the rows of the other entries were last read; -1 when they never were. */
    MEMBERS_READ_AGE_MILLIS
  }

  private final Map<Counter, LongAdder> counters = new EnumMap<>(Counter.class);
  private final Recorder firstByte = new Recorder(LONGEST_MILLIS, DIGITS);
  private final Recorder whole = new Recorder(LONGEST_MILLIS, DIGITS);
  private final Map<Level, DoubleSupplier> levels = new ConcurrentHashMap<>();

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
  public void recordFirstByte(long millis) {
    firstByte.recordValue(bounded(millis));
  }

  /** Notes the time from a request's arrival to the end of its answer. */
  public void recordWholeAnswer(long millis) {
    whole.recordValue(bounded(millis));
  }

  /** Sets where a level is read from. */
  public void registerGauge(Level level, DoubleSupplier source) {
    levels.put(level, source);
  }

  // -- for the page

  long value(Counter counter) {
    return counters.get(counter).sum();
  }

  double value(Level level) {
    return levels.getOrDefault(level, () -> 0).getAsDouble();
  }

  Recorder firstByteRecorder() {
    return firstByte;
  }

  Recorder wholeAnswerRecorder() {
    return whole;
  }

  static String name(Enum<?> metric) {
    return "limpetvale_" + metric.name().toLowerCase(Locale.ROOT);
  }

  private static long bounded(long millis) {
    return Math.max(0, Math.min(LONGEST_MILLIS, millis));
  }
}
