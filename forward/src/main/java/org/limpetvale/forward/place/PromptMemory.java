package org.limpetvale.forward.place;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.IntSupplier;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.CopyChance;
import org.limpetvale.core.placement.CopyRetention;
import org.limpetvale.core.placement.EngineModel;
import org.limpetvale.core.placement.EnginePlacement;
import org.limpetvale.core.placement.PromptShape;
import org.limpetvale.core.placement.WrittenTokens;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.log.EventLog;

/**
 * What this entry has learned about how long the engines of each service keep prompts. Must only be
 * used on the event loop.
 */
public final class PromptMemory {
  /** Shortest saved time from which an answer shows whether a copy was held. */
  private static final double MIN_SAVED_MILLIS = 30;

  /** Share of the saved time above the prediction from which a copy counts as not held. */
  private static final double MISSED_SHARE = 0.6;

  /** Time between two log lines about a service. */
  private static final long LOG_INTERVAL_MILLIS = 10_000;

  private final IntSupplier entries;
  private final TimerService timer;
  private final EventLog log;
  private final Map<String, Service> services = new HashMap<>();

  /** What is known about one service. */
  private static final class Service {
    private final WrittenTokens written = WrittenTokens.empty();
    private final CopyRetention retention = CopyRetention.empty();

    /** Memory of an engine in tokens; 0 if it is not configured. */
    private long cacheTokens;

    private long held;
    private long missed;
    private long loggedMillis = Long.MIN_VALUE / 2;
  }

  /**
   * A copy that a request counts on.
   *
   * @param turnovers turnovers of the engine's memory since the copy was last used
   * @param heldMillis predicted time to the first event if the engine holds it
   * @param savedMillis time that it saves
   */
  public record ExpectedCopy(double turnovers, double heldMillis, double savedMillis) {}

  private PromptMemory(IntSupplier entries, TimerService timer, EventLog log) {
    this.entries = Objects.requireNonNull(entries, "entries is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /**
   * Returns an instance that has learned nothing.
   *
   * @param entries supplies the number of running entries
   */
  public static PromptMemory of(IntSupplier entries, TimerService timer, EventLog log) {
    return new PromptMemory(entries, timer, log);
  }

  /**
   * Returns the chance that an engine of a service still holds a part.
   *
   * @param cacheTokens memory of an engine in tokens
   */
  CopyChance chance(String service, long cacheTokens) {
    Service known = service(service, cacheTokens);
    return readMillis -> known.retention.chance(turnovers(known, readMillis));
  }

  /** Records a request that is sent to an engine of a service with the given number of engines. */
  void requestSent(String service, PromptShape shape, int uncachedTokens, int engines) {
    Service known = services.get(service);
    if (known != null) {
      double weight = (double) Math.max(1, entries.getAsInt()) / Math.max(1, engines);
      known.written.requestSent(uncachedTokens + shape.outputTokens(), weight, timer.nowMillis());
    }
  }

  /** Returns the copy that a request counts on; empty figures if an answer could not show it. */
  ExpectedCopy expect(
      String service, OptionalLong lastReadMillis, PromptShape shape, EngineModel model) {
    Service known = services.get(service);
    if (known == null || lastReadMillis.isEmpty()) {
      return new ExpectedCopy(0, 0, 0);
    }
    double heldMillis =
        EnginePlacement.firstEventMillis(model, shape.promptTokens(), shape.sharedTokens());
    double missedMillis = EnginePlacement.firstEventMillis(model, shape.promptTokens(), 0);
    return new ExpectedCopy(
        turnovers(known, lastReadMillis.getAsLong()), heldMillis, missedMillis - heldMillis);
  }

  /**
   * Records the first event of a request whose engine had no other prompt to read.
   *
   * @param millis time since the request was sent
   */
  public void firstEvent(Upstream upstream, ExpectedCopy copy, double millis) {
    Service known = services.get(upstream.service());
    if (known == null || copy.savedMillis() < MIN_SAVED_MILLIS) {
      return;
    }
    boolean held = millis < copy.heldMillis() + MISSED_SHARE * copy.savedMillis();
    known.retention.recordAnswer(copy.turnovers(), held);
    known.held += held ? 1 : 0;
    known.missed += held ? 0 : 1;
    logSometimes(upstream.service(), known);
  }

  private void logSometimes(String name, Service known) {
    long nowMillis = timer.nowMillis();
    if (nowMillis - known.loggedMillis < LOG_INTERVAL_MILLIS) {
      return;
    }
    known.loggedMillis = nowMillis;
    log.stateChange(
        "prompt_memory",
        field("service", name),
        field("held", known.held),
        field("missed", known.missed),
        field("chanceAfterHalfTurnover", known.retention.chance(0.5)),
        field("chanceAfterTurnover", known.retention.chance(1)));
  }

  private static double turnovers(Service known, long readMillis) {
    return known.cacheTokens <= 0 ? 0 : known.written.since(readMillis) / known.cacheTokens;
  }

  private Service service(String name, long cacheTokens) {
    Service known = services.computeIfAbsent(name, key -> new Service());
    known.cacheTokens = cacheTokens;
    return known;
  }
}
