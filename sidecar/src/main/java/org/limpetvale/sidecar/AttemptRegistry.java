package org.limpetvale.sidecar;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.limpetvale.core.time.TimerService;

/**
 * Registry of the attempts at this sidecar. Ended attempts are retained for a while so that an
 * entry that has lost its connection can reattach.
 */
final class AttemptRegistry {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time after which a detached attempt is cancelled, in milliseconds. */
  private static final long REATTACH_TIMEOUT_MILLIS = 8000;

  private static final long RETENTION_AFTER_END_MILLIS = 15_000;
  private static final long SWEEP_PERIOD_MILLIS = 1000;

  private final TimerService timer;
  private final MeterRegistry metrics;
  private final Map<AttemptKey, Slot> slots = new ConcurrentHashMap<>();
  private final AtomicLong tickets = new AtomicLong();

  AttemptRegistry(TimerService timer, MeterRegistry metrics) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    timer.every(SWEEP_PERIOD_MILLIS, this::sweep);
  }

  /** Identifies an attempt. */
  record AttemptKey(String requestId, int attempt) {}

  private record Slot(Optional<Attempt> attempt, long createdMillis) {}

  long nextTicket() {
    return tickets.incrementAndGet();
  }

  /**
   * Registers an attempt. Returns false if it is already registered or has been closed by {@link
   * #findOrClose}.
   */
  boolean register(AttemptKey key, Attempt attempt) {
    return slots.putIfAbsent(key, new Slot(Optional.of(attempt), timer.nowMillis())) == null;
  }

  /**
   * Finds an attempt. An unknown attempt is closed: if its open command arrives later, it is
   * refused, so the reply that it has not run remains true.
   */
  Optional<Attempt> findOrClose(AttemptKey key) {
    return slots
        .computeIfAbsent(key, ignored -> new Slot(Optional.empty(), timer.nowMillis()))
        .attempt();
  }

  /** Returns the attempts that have not ended. */
  Collection<Attempt> active() {
    return slots.values().stream()
        .flatMap(slot -> slot.attempt().stream())
        .filter(each -> each.phase() != Attempt.Phase.ENDED)
        .toList();
  }

  private void sweep() {
    long nowMillis = timer.nowMillis();
    slots
        .values()
        .removeIf(
            slot -> {
              boolean stale = isExpired(slot, nowMillis);
              if (stale) {
                slot.attempt().ifPresent(this::countUnaccounted);
              }
              return stale;
            });
    active().stream()
        .filter(each -> each.detachedSinceMillis() > 0)
        .filter(each -> nowMillis - each.detachedSinceMillis() > REATTACH_TIMEOUT_MILLIS)
        .forEach(Attempt::cancel);
  }

  /**
   * Counts the tokens of a complete answer whose entry was lost before it confirmed delivery to the
   * caller.
   */
  private void countUnaccounted(Attempt attempt) {
    int tokens = attempt.unaccountedTokens();
    if (tokens > 0) {
      metrics.counter("limpetvale.usage.unproved.tokens").increment(tokens);
      logger.atWarning().log(
          "usage not proved workspace=%s request=%s tokens=%d",
          attempt.open().getWorkspace(), attempt.open().getRequestId(), tokens);
    }
  }

  private static boolean isExpired(Slot slot, long nowMillis) {
    boolean ended = slot.attempt().map(each -> each.phase() == Attempt.Phase.ENDED).orElse(true);
    long since = slot.attempt().map(Attempt::endedMillis).orElse(slot.createdMillis());
    return ended && nowMillis - since > RETENTION_AFTER_END_MILLIS;
  }
}
