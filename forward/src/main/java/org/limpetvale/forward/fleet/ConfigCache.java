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

/** The newest configuration and how recently it was confirmed to be the newest. */
public final class ConfigCache implements TableFollower.Subscriber, Planner.ConfigView {
  /** Part of the bound on withdrawn keys that is kept for the way of a request. */
  private static final long MARGIN_MILLIS = 400;

  /** Drift of the time of day against the monotonic clock that hints at a suspended VM. */
  private static final long SUSPENSION_MILLIS = 400;

  private final RowDecoder decoder;
  private final TimerService timer;
  private final EventLog log;
  private final long revokeMillis;
  private final AtomicReference<Optional<FleetConfig>> config =
      new AtomicReference<>(Optional.empty());
  private Runnable refresh = () -> {};
  private Runnable onRegained = () -> {};

  /** When the question was asked whose answer last showed the newest configuration. */
  private Optional<Moment> confirmedAsOf = Optional.empty();

  private boolean suspicious;

  private ConfigCache(RowDecoder decoder, TimerService timer, EventLog log, long revokeMillis) {
    this.decoder = Objects.requireNonNull(decoder, "decoder is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
    this.revokeMillis = revokeMillis;
  }

  /**
   * Returns a keeper that knows no configuration.
   *
   * @param revokeMillis time within which a withdrawn key must stop working
   */
  public static ConfigCache of(
      RowDecoder decoder, TimerService timer, EventLog log, long revokeMillis) {
    return new ConfigCache(decoder, timer, log, revokeMillis);
  }

  /** Sets what reads the configuration again at once. */
  public void setClockDriftHandler(Runnable action) {
    refresh = Objects.requireNonNull(action, "action is null");
  }

  /** Sets what runs when the store answers again. */
  public void setStoreRecoveryHandler(Runnable action) {
    onRegained = Objects.requireNonNull(action, "action is null");
  }

  @Override
  public Optional<FleetConfig> config() {
    return config.get();
  }

  /** Returns the limits on callers in force. */
  public CallerLimits limits() {
    return config.get().map(FleetConfig::limits).orElse(CallerLimits.DEFAULT);
  }

  @Override
  public boolean keysAreCurrent() {
    if (confirmedAsOf.isEmpty()) {
      return false;
    }
    long driftMillis = Moment.now(timer).driftSinceMillis(confirmedAsOf.get());
    if (Math.abs(driftMillis) > SUSPENSION_MILLIS) {
      suspect(driftMillis);
      return false;
    }
    return confirmedAgeMillis() < revokeMillis - MARGIN_MILLIS;
  }

  @Override
  public long confirmedAgeMillis() {
    return timer.nowMillis() - confirmedAsOf.map(Moment::monotonicMillis).orElse(0L);
  }

  // -- subscription

  @Override
  public void onSnapshot(List<StoredRow> rows) {
    rows.forEach(this::take);
  }

  @Override
  public void onUpdate(List<StoredRow> rows) {
    rows.forEach(this::take);
  }

  @Override
  public void onConfirmed(Moment asOf) {
    confirmedAsOf = Optional.of(asOf);
    suspicious = false;
  }

  @Override
  public void onStoreRecovered() {
    onRegained.run();
  }

  private void take(StoredRow row) {
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
    long old = config.get().map(FleetConfig::version).orElse(-1L);
    if (next.version() <= old) {
      return;
    }
    config.set(Optional.of(next));
    log.stateChange(
        "config_installed",
        field("from", old),
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

  /** Returns the priorities that workspaces have of their own, in order. */
  private static String ownPriorities(FleetConfig config) {
    return config.workspacesByKey().values().stream()
        .distinct()
        .flatMapToInt(workspace -> workspace.priority().stream())
        .sorted()
        .mapToObj(Integer::toString)
        .collect(Collectors.joining(","));
  }

  private void suspect(long driftMillis) {
    if (!suspicious) {
      suspicious = true;
      log.stateChange("clock_drift", field("millis", driftMillis));
      refresh.run();
    }
  }
}
