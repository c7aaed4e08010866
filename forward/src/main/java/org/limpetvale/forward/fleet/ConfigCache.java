package org.limpetvale.forward.fleet;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.limpetvale.core.fleet.CallerLimits;
import org.limpetvale.core.fleet.FleetConfig;
import org.limpetvale.core.time.Moment;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.route.Planner;
import org.limpetvale.forward.spi.RowDecoder;
import org.limpetvale.forward.spi.StoredRow;

/** Holds the newest configuration and when it was last confirmed to be the newest. */
public final class ConfigCache implements TableFollower.Subscriber, Planner.ConfigView {
  /** Part of the key revocation limit that is reserved for the time a request is on its way. */
  private static final long REQUEST_MARGIN_MILLIS = 400;

  /** Drift between wall clock and monotonic clock above which the VM may have been suspended. */
  private static final long MAX_CLOCK_DRIFT_MILLIS = 400;

  private final RowDecoder decoder;
  private final TimerService timer;
  private final EventLog log;
  private final long revocationLimitMillis;
  private final AtomicReference<Optional<FleetConfig>> config =
      new AtomicReference<>(Optional.empty());
  private Runnable clockDriftHandler = () -> {};
  private Runnable storeRecoveryHandler = () -> {};

  /** When the request was sent whose response last confirmed the newest configuration. */
  private Optional<Moment> confirmedAsOf = Optional.empty();

  private boolean driftDetected;

  private ConfigCache(RowDecoder decoder, TimerService timer, EventLog log, long revokeMillis) {
    this.decoder = Objects.requireNonNull(decoder, "decoder is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
    this.revocationLimitMillis = revokeMillis;
  }

  /**
   * Creates a cache without a configuration.
   *
   * @param revokeMillis time within which a withdrawn key must be rejected
   */
  public static ConfigCache of(
      RowDecoder decoder, TimerService timer, EventLog log, long revokeMillis) {
    return new ConfigCache(decoder, timer, log, revokeMillis);
  }

  /**
   * Sets the action that runs when clock drift suggests a suspended VM. It should read the
   * configuration again at once.
   */
  public void setClockDriftHandler(Runnable action) {
    clockDriftHandler = Objects.requireNonNull(action, "action is null");
  }

  /** Sets the action that runs when the store is available again after failures. */
  public void setStoreRecoveryHandler(Runnable action) {
    storeRecoveryHandler = Objects.requireNonNull(action, "action is null");
  }

  @Override
  public Optional<FleetConfig> config() {
    return config.get();
  }

  /** Returns the caller limits in force; the defaults without a configuration. */
  public CallerLimits limits() {
    return config.get().map(FleetConfig::limits).orElse(CallerLimits.DEFAULT);
  }

  @Override
  public boolean keysAreCurrent() {
    if (confirmedAsOf.isEmpty()) {
      return false;
    }
    long driftMillis = Moment.now(timer).driftSinceMillis(confirmedAsOf.get());
    if (Math.abs(driftMillis) > MAX_CLOCK_DRIFT_MILLIS) {
      reportDrift(driftMillis);
      return false;
    }
    return confirmedAgeMillis() < revocationLimitMillis - REQUEST_MARGIN_MILLIS;
  }

  @Override
  public long confirmedAgeMillis() {
    return timer.nowMillis() - confirmedAsOf.map(Moment::monotonicMillis).orElse(0L);
  }

  @Override
  public void onSnapshot(List<StoredRow> rows) {
    rows.forEach(this::apply);
  }

  @Override
  public void onUpdate(List<StoredRow> rows) {
    rows.forEach(this::apply);
  }

  @Override
  public void onConfirmed(Moment asOf) {
    confirmedAsOf = Optional.of(asOf);
    driftDetected = false;
  }

  @Override
  public void onStoreRecovered() {
    storeRecoveryHandler.run();
  }

  private void apply(StoredRow row) {
    if (row.removed() || !decoder.isConfig(row)) {
      return;
    }
    switch (decoder.decodeConfig(row)) {
      case RowDecoder.Decoded.Value<FleetConfig>(FleetConfig next) -> install(next);
      case RowDecoder.Decoded.Unusable<FleetConfig>(String reason) ->
          log.stateChange("config_unusable", field("row", row.version()), field("cause", reason));
    }
  }

  private void install(FleetConfig next) {
    long currentVersion = config.get().map(FleetConfig::version).orElse(-1L);
    if (next.version() <= currentVersion) {
      return;
    }
    config.set(Optional.of(next));
    log.stateChange(
        "config_installed",
        field("from", currentVersion),
        field("to", next.version()),
        field("routes", next.routes().size()),
        field("keys", next.workspacesByKey().size()),
        field("scaledServices", scaledServices(next)),
        field("ownPriorities", ownPriorities(next)));
  }

  private static long scaledServices(FleetConfig config) {
    return config.services().values().stream()
        .filter(service -> service.scaling().isPresent())
        .count();
  }

  /** Returns the priorities that are set on workspaces, sorted and separated by commas. */
  private static String ownPriorities(FleetConfig config) {
    return config.workspacesByKey().values().stream()
        .distinct()
        .flatMapToInt(workspace -> workspace.priority().stream())
        .sorted()
        .mapToObj(Integer::toString)
        .collect(Collectors.joining(","));
  }

  private void reportDrift(long driftMillis) {
    if (!driftDetected) {
      driftDetected = true;
      log.stateChange("clock_drift", field("millis", driftMillis));
      clockDriftHandler.run();
    }
  }
}
