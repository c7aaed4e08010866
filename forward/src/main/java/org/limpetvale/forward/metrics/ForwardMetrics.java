package org.limpetvale.forward.metrics;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;
import org.HdrHistogram.Recorder;

/** The counters, gauges and latency histograms of a forwarding daemon. */
public final class ForwardMetrics {
  private static final long MAX_RECORDED_MILLIS = 120_000;
  private static final int SIGNIFICANT_DIGITS = 2;

  /** The counters; the metric names are derived from these names. */
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
    ANSWERS_SPOILED,
    /** Final responses of upstreams that were not taken for those of the requests in progress. */
    RESPONSES_DISCARDED,
    /** Answers whose end was marked by nothing but the end of the upstream's connection. */
    ANSWERS_ENDED_BY_CLOSE,
    /** Requests that were not sent, or not sent again, because upstreams crash on them. */
    CRASHING_REQUESTS_STOPPED,
    /** Requests refused because callers hold all memory that is meant for them. */
    REQUESTS_REFUSED_FOR_MEMORY,
    /** Connections of callers closed because there are as many as descriptors allow. */
    CONNECTIONS_CLOSED_FOR_ROOM
  }

  /** The gauges; the metric names are derived from these names. */
  public enum Gauge {
    OPEN_CONNECTIONS,
    /** Memory that the requests of callers hold. */
    CALLER_HELD_BYTES,
    /** Number of upstreams that have named a limit on the requests of all entries. */
    LIMITED_UPSTREAMS,
    /** Number of upstreams that have stated that they are cold. */
    COLD_UPSTREAMS,
    /** Number of upstreams whose machines are lastingly faster or slower than usual. */
    UNUSUAL_SPEED_UPSTREAMS,
    /** Number of availability zones to which the operator has ordered to send nothing. */
    EVACUATED_ZONES,
    /** Number of prompt parts that are blocked because upstreams crash on them. */
    BLOCKED_PARTS,
    /** Number of entries that share the retry budget. */
    RETRY_SHARERS,
    /** This entry's share of the retry allowance, from 0 to 1. */
    RETRY_ALLOWANCE_PART,
    /** Time since the rows of the other entries were last read; -1 if they were never read. */
    MEMBERS_READ_AGE_MILLIS,
    /** Number of times that the store has come back from an older copy, as it says itself. */
    STORE_ERA,
    /** Newest version of the store within its era. */
    STORE_VERSION
  }

  private final Map<Counter, LongAdder> counters = new EnumMap<>(Counter.class);
  private final Recorder firstByte = new Recorder(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);
  private final Recorder wholeAnswer = new Recorder(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);
  private final Map<Gauge, DoubleSupplier> gauges = new ConcurrentHashMap<>();

  private ForwardMetrics() {
    for (Counter counter : Counter.values()) {
      counters.put(counter, new LongAdder());
    }
  }

  /** Returns metrics without any recorded values. */
  public static ForwardMetrics empty() {
    return new ForwardMetrics();
  }

  /** Increments a counter. */
  public void count(Counter counter) {
    counters.get(counter).increment();
  }

  /** Records the time from a request's arrival to the first byte of its response. */
  public void recordFirstByte(long millis) {
    firstByte.recordValue(clamp(millis));
  }

  /** Records the time from a request's arrival to the end of its response. */
  public void recordWholeAnswer(long millis) {
    wholeAnswer.recordValue(clamp(millis));
  }

  /** Registers the source of a gauge's value. */
  public void registerGauge(Gauge level, DoubleSupplier source) {
    gauges.put(level, source);
  }

  long value(Counter counter) {
    return counters.get(counter).sum();
  }

  double value(Gauge level) {
    return gauges.getOrDefault(level, () -> 0).getAsDouble();
  }

  Recorder firstByteRecorder() {
    return firstByte;
  }

  Recorder wholeAnswerRecorder() {
    return wholeAnswer;
  }

  static String name(Enum<?> metric) {
    return "limpetvale_" + metric.name().toLowerCase(Locale.ROOT);
  }

  private static long clamp(long millis) {
    return Math.max(0, Math.min(MAX_RECORDED_MILLIS, millis));
  }
}
