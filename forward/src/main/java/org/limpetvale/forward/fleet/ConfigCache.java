package org.limpetvale.forward.fleet;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.limpetvale.core.fleet.CallerLimits;
import org.limpetvale.core.fleet.FleetConfig;
import org.limpetvale.core.store.StoreVersion;
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

  private static final long NO_VERSION = -1;

  /** Time before the last confirmation expires at which one from an older copy takes its place. */
  private static final long EARLY_CONFIRMATION_MILLIS = 700;

  /** Time after a return in which the newest version may be known to other entries only. */
  private static final long RECENT_RETURN_MILLIS = 10_000;

  /** Time within which running entries tell which version they have in force. */
  public static final long PEER_REPORT_WAIT_MILLIS = 1_200;

  private final RowDecoder decoder;
  private final TimerService timer;
  private final EventLog log;
  private final long revocationLimitMillis;
  private final AtomicReference<Optional<FleetConfig>> config =
      new AtomicReference<>(Optional.empty());
  private Runnable clockDriftHandler = () -> {};
  private Runnable storeRecoveryHandler = () -> {};
  private LongSupplier newestPeerVersion = () -> NO_VERSION;
  private StoredRow installedRow = new StoredRow("", "", StoreVersion.NONE, false);

  /** When the request was sent whose response last confirmed the newest configuration. */
  private Optional<Moment> confirmedAsOf = Optional.empty();

  private Optional<Moment> withheldAsOf = Optional.empty();
  private long withheldUntilMillis = Long.MIN_VALUE;
  private long returnedAtMillis = Long.MIN_VALUE / 2;

  /** Version of the last row that could not be used. */
  private StoreVersion unusableVersion = StoreVersion.NONE;

  private boolean driftDetected;
  private boolean olderThanPeersLogged;

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

  /**
   * Sets the source of the newest version that another entry has in force; negative if none is
   * known. A store that has come back from an older copy may lack that version, and so does a read
   * that it answers from before.
   */
  public void setNewestPeerVersion(LongSupplier version) {
    newestPeerVersion = Objects.requireNonNull(version, "version is null");
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
    return confirmedAgeMillis() < revocationLimitMillis - REQUEST_MARGIN_MILLIS
        && !mayBeConfirmedFromOlderCopy();
  }

  /** Another entry may tell a newer version only after one of an older copy was confirmed. */
  private boolean mayBeConfirmedFromOlderCopy() {
    return timer.nowMillis() - returnedAtMillis < RECENT_RETURN_MILLIS
        && newestPeerVersion.getAsLong() > version();
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
    if (rows.stream().anyMatch(row -> !row.removed() && decoder.isConfig(row))) {
      withheldUntilMillis = timer.nowMillis();
    }
    rows.forEach(this::apply);
  }

  /** Returns the version in force; negative without a configuration. */
  public long version() {
    return config.get().map(FleetConfig::version).orElse(NO_VERSION);
  }

  /**
   * Withholds confirmations for a time in which other entries tell which version they have in
   * force. Is used when the store may have come back from an older copy, which lacks the newest
   * version.
   */
  public void withholdConfirmations(long millis) {
    returnedAtMillis = timer.nowMillis();
    withheldUntilMillis = returnedAtMillis + millis;
    timer.after(millis, this::confirmWithheld);
  }

  /** Ends the withholding of confirmations early. */
  public void endWithholding() {
    withheldUntilMillis = timer.nowMillis();
    confirmWithheld();
  }

  private void confirmWithheld() {
    Optional<Moment> asOf = withheldAsOf;
    if (timer.nowMillis() >= withheldUntilMillis) {
      withheldAsOf = Optional.empty();
      asOf.ifPresent(this::onConfirmed);
    }
  }

  @Override
  public void onConfirmed(Moment asOf) {
    if (timer.nowMillis() < withheldUntilMillis) {
      withheldAsOf = Optional.of(asOf);
      return;
    }
    long peerVersion = newestPeerVersion.getAsLong();
    if (peerVersion > version()) {
      logOlderThanPeers(peerVersion);
      return;
    }
    olderThanPeersLogged = false;
    confirmedAsOf = Optional.of(asOf);
    driftDetected = false;
  }

  private void logOlderThanPeers(long peerVersion) {
    if (!olderThanPeersLogged) {
      olderThanPeersLogged = true;
      log.stateChange(
          "config_older_than_peers", field("version", version()), field("peers", peerVersion));
    }
  }

  @Override
  public void onStoreReturned(StoreVersion storeVersion) {
    long validMillis = revocationLimitMillis - REQUEST_MARGIN_MILLIS - confirmedAgeMillis();
    withholdConfirmations(Math.max(0, validMillis - EARLY_CONFIRMATION_MILLIS));
    log.stateChange(
        "config_kept_over_older_copy", field("version", version()), field("store", storeVersion));
  }

  @Override
  public void onStoreRecovered() {
    storeRecoveryHandler.run();
  }

  private void apply(StoredRow row) {
    if (row.removed() || !decoder.isConfig(row)) {
      return;
    }
    switch (decode(row)) {
      case RowDecoder.Decoded.Value<FleetConfig>(FleetConfig next) -> install(row, next);
      case RowDecoder.Decoded.Unusable<FleetConfig>(String reason) -> logUnusable(row, reason);
    }
  }

  /** Decodes a row; after an exception of the decoder, the configuration in force stays. */
  private RowDecoder.Decoded<FleetConfig> decode(StoredRow row) {
    try {
      return decoder.decodeConfig(row);
    } catch (RuntimeException | StackOverflowError e) {
      return new RowDecoder.Decoded.Unusable<>("exception: " + e);
    }
  }

  private void logUnusable(StoredRow row, String reason) {
    if (!row.version().equals(unusableVersion)) {
      unusableVersion = row.version();
      log.stateChange("config_unusable", field("row", row.version()), field("cause", reason));
    }
  }

  private void install(StoredRow row, FleetConfig next) {
    long currentVersion = version();
    if (next.version() < currentVersion || next.version() == currentVersion && !isRewritten(row)) {
      return;
    }
    config.set(Optional.of(next));
    installedRow = row;
    log.stateChange(
        "config_installed",
        field("from", currentVersion),
        field("to", next.version()),
        field("routes", next.routes().size()),
        field("keys", next.workspacesByKey().size()),
        field("scaledServices", scaledServices(next)),
        field("ownPriorities", ownPriorities(next)));
  }

  /**
   * Returns whether the row was written with another content after the store came back from an
   * older copy, so that its version was given out twice.
   */
  private boolean isRewritten(StoredRow row) {
    return installedRow.version().isOfEarlierEraThan(row.version())
        && !installedRow.text().equals(row.text());
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
