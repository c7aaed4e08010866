package org.limpetvale.forward;

import static org.limpetvale.forward.log.EventLog.field;

import io.netty.channel.ChannelFuture;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.limpetvale.core.fleet.ServicePolicy;
import org.limpetvale.core.placement.RendezvousHashing;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.accept.CallerServer;
import org.limpetvale.forward.account.RetryBudgets;
import org.limpetvale.forward.account.UsageCounts;
import org.limpetvale.forward.admit.CrashGuard;
import org.limpetvale.forward.duty.Demand;
import org.limpetvale.forward.duty.DutyLoop;
import org.limpetvale.forward.duty.EntryRoster;
import org.limpetvale.forward.duty.Members;
import org.limpetvale.forward.duty.ScalingDuty;
import org.limpetvale.forward.fleet.ConfigCache;
import org.limpetvale.forward.fleet.Evacuations;
import org.limpetvale.forward.fleet.TableFollower;
import org.limpetvale.forward.fleet.UpstreamRegistry;
import org.limpetvale.forward.http.TextServer;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.metrics.ForwardMetrics;
import org.limpetvale.forward.metrics.MetricsPage;
import org.limpetvale.forward.peer.PeerLink;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.peer.PeerReports;
import org.limpetvale.forward.place.EngineProfiles;
import org.limpetvale.forward.place.Placer;
import org.limpetvale.forward.place.PromptMemory;
import org.limpetvale.forward.place.UpstreamLimits;
import org.limpetvale.forward.place.UpstreamNotices;
import org.limpetvale.forward.place.UpstreamStates;
import org.limpetvale.forward.relay.Forwarder;
import org.limpetvale.forward.route.Planner;
import org.limpetvale.forward.spi.DutyClient;
import org.limpetvale.forward.spi.FleetStore;
import org.limpetvale.forward.spi.HeaderCodec;
import org.limpetvale.forward.spi.RowDecoder;
import org.limpetvale.forward.spi.RowTable;
import org.limpetvale.forward.time.EventLoopTimer;
import org.limpetvale.forward.time.FleetClock;

/** A forwarding daemon: creates its components, starts them and stops them gracefully. */
public final class ForwardDaemon {
  /**
   * The waits are short so that the configuration is confirmed often enough to revoke keys in time.
   */
  private static final TableFollower.Timing CONFIG_PACE = new TableFollower.Timing(1_500, 8_000, 0);

  private static final TableFollower.Timing UPSTREAM_PACE =
      new TableFollower.Timing(4_000, 12_000, 500);

  /** Time in which the load balancer detects that the daemon is not ready any more. */
  private static final long DEREGISTRATION_MILLIS = 2_600;

  /** Part of the grace period that is reserved for the final writes. */
  private static final long FINAL_WRITES_MILLIS = 900;

  /** Part of the grace period that is reserved for the exit of the process. */
  private static final long EXIT_MILLIS = 300;

  private static final long STOP_CHECK_MILLIS = 50;
  private static final int BOOT_ID_LENGTH = 8;

  /** Number of usage windows in a peer report, counted back from the current one. */
  private static final int REPORTED_WINDOWS = 3;

  /**
   * Time after the store's return from a copy in which the operator writes its configuration again.
   * An entry that has just started may be the only one, and knows only the copy.
   */
  private static final long OPERATOR_REWRITE_MILLIS = 2_500;

  /** Time over which the entries spread their reads after the store's return from a copy. */
  private static final long RETURN_READ_SPREAD_MILLIS = 250;

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  /**
   * The platform services that the daemon depends on.
   *
   * @param store store of configuration and state rows
   * @param decoder decodes rows that the platform writes
   * @param dialect header names of callers and upstreams
   * @param calls platform calls that only the holder of a duty may make
   */
  public record Platform(
      FleetStore store, RowDecoder decoder, HeaderCodec dialect, DutyClient calls) {
    public Platform {
      Objects.requireNonNull(store, "store is null");
      Objects.requireNonNull(decoder, "decoder is null");
      Objects.requireNonNull(dialect, "dialect is null");
      Objects.requireNonNull(calls, "calls is null");
    }
  }

  private final ForwardSettings settings;
  private final Transport transport;
  private final EventLog log;
  private final TimerService timer;
  private final FleetStore store;
  private final ConfigCache config;
  private final UpstreamRegistry upstreams;
  private final TableFollower configFollower;
  private final TableFollower upstreamFollower;
  private final Forwarder forwarder;
  private final CallerServer callers;
  private final DutyLoop duties;
  private final PeerLink peers;
  private final CrashGuard crashes;
  private final ForwardMetrics metrics;
  private final MetricsPage metricsPage;
  private boolean stopping;

  /** Whether no more requests will start to run. */
  private boolean finished;

  private ForwardDaemon(
      ForwardSettings settings, Transport transport, Platform platform, EventLog log) {
    this.settings = Objects.requireNonNull(settings, "settings is null");
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.log = Objects.requireNonNull(log, "log is null");
    this.timer = EventLoopTimer.of(transport.loop(), log);
    this.metrics = ForwardMetrics.empty();
    this.metricsPage = MetricsPage.of(metrics);
    this.store = platform.store();
    this.config = ConfigCache.of(platform.decoder(), timer, log, settings.bounds().revokeMillis());
    this.upstreams = UpstreamRegistry.of(platform.decoder(), timer, log);
    Evacuations evacuations = Evacuations.of(platform.decoder(), config, timer, log);
    evacuations.onChange(upstreams::setEvacuatedZones);
    metrics.registerGauge(ForwardMetrics.Gauge.EVACUATED_ZONES, () -> evacuations.zones().size());
    this.configFollower =
        TableFollower.of(platform.store(), RowTable.CONFIG, CONFIG_PACE, evacuations, timer, log);
    this.upstreamFollower =
        TableFollower.of(
            platform.store(), RowTable.UPSTREAMS, UPSTREAM_PACE, upstreams, timer, log);
    DutyLoop.Identity self =
        new DutyLoop.Identity(
            settings.name(),
            UUID.randomUUID().toString().substring(0, BOOT_ID_LENGTH),
            settings.peers(),
            settings.bounds().leaseMillis());
    Members members = Members.of(settings.bounds().retries().windowMillis(), timer);
    PeerReports peerBook = PeerReports.of(timer);
    config.setNewestPeerVersion(peerBook::newestConfigVersion);
    UpstreamStates loads = UpstreamStates.empty();
    FleetClock clock = FleetClock.of(timer);
    UsageCounts usage = UsageCounts.of(settings.bounds().usageWindowMillis(), clock::millis);
    EngineProfiles engines = EngineProfiles.of(peerBook, timer, log);
    if (settings.placement().separatesShortGapsAtStart()) {
      engines.setGapTargets(
          service ->
              config
                  .config()
                  .map(each -> each.routes().gapTargetsMillis(service))
                  .orElse(Set.of()));
    }
    EntryRoster roster = EntryRoster.of(self.writer(), members, peerBook, timer);
    UpstreamLimits limits =
        UpstreamLimits.of(loads, self.writer(), roster::entries, clock::millis, timer, log);
    limits.setColdStarts(
        service ->
            config
                .config()
                .flatMap(each -> each.service(service))
                .flatMap(ServicePolicy::coldStart),
        settings.bounds().coldStarts());
    upstreams.onColdStated(limits::coldStated);
    metrics.registerGauge(ForwardMetrics.Gauge.COLD_UPSTREAMS, limits::coldUpstreams);
    UpstreamNotices notices =
        UpstreamNotices.of(
            loads, limits, () -> ThreadLocalRandom.current().nextDouble(), timer, log);
    if (settings.placement().usesStatedSpeeds()) {
      notices.useStatedSpeeds();
    }
    Placer placer =
        Placer.of(settings.zone(), upstreams::view, peerBook, loads, notices, engines, timer);
    placer.setRegionsByZone(settings.regionsByZone());
    if (settings.placement().weighsPromptMemory()) {
      placer.weighPromptMemory(PromptMemory.of(() -> 1 + peerBook.liveEntryCount(), timer, log));
    }
    RetryBudgets budgets = RetryBudgets.of(settings.bounds().retries(), members::share, timer);
    this.crashes = CrashGuard.of(timer, log);
    crashes.setTrialTurns((part, round) -> isFirstOfRound(part, round, self, peerBook));
    peerBook.onReport(
        report -> {
          crashes.peerReported(report);
          placer.peerReported(report);
          notices.peerReported(report, upstreams.view());
        });
    metrics.registerGauge(ForwardMetrics.Gauge.RETRY_SHARERS, () -> members.share().sharers());
    metrics.registerGauge(
        ForwardMetrics.Gauge.RETRY_ALLOWANCE_PART, () -> members.share().fraction());
    metrics.registerGauge(
        ForwardMetrics.Gauge.MEMBERS_READ_AGE_MILLIS, () -> members.share().readAgeMillis());
    metrics.registerGauge(ForwardMetrics.Gauge.LIMITED_UPSTREAMS, loads::limitedUpstreams);
    metrics.registerGauge(
        ForwardMetrics.Gauge.UNUSUAL_SPEED_UPSTREAMS, loads::unusualSpeedUpstreams);
    metrics.registerGauge(ForwardMetrics.Gauge.STORE_ERA, () -> store.newestVersion().era());
    metrics.registerGauge(ForwardMetrics.Gauge.STORE_VERSION, () -> store.newestVersion().number());
    this.forwarder =
        Forwarder.of(
            transport,
            Planner.of(() -> config),
            crashes,
            placer,
            platform.dialect(),
            upstreams::view,
            budgets,
            usage,
            metrics,
            log,
            timer);
    this.callers =
        CallerServer.of(
            transport, timer, log, config::limits, forwarder, settings.callerCapacity(), metrics);
    Demand demand = new Demand(upstreams::view, loads, peerBook, forwarder::waiting);
    ScalingDuty scaling =
        ScalingDuty.of(
            settings.name(), config::config, upstreams::view, demand, platform.calls(), timer, log);
    this.duties =
        DutyLoop.of(
            self,
            platform.store(),
            platform.calls(),
            usage,
            scaling,
            members,
            crashes,
            peerBook,
            clock,
            timer,
            log);
    this.peers =
        PeerLink.of(
            transport,
            settings.peers(),
            peerBook,
            () -> members.addressesExcept(settings.peers()),
            parts -> {
              long storeEra = store.newestVersion().era();
              clock.setPeerOffsets(peerBook.clockOffsets(storeEra));
              PeerReport report =
                  new PeerReport(
                      self.writer(),
                      parts.sequenceNumber(),
                      clock.ownOffsetMillis(),
                      finished ? usage.currentWindow() : usage.closedWindow(),
                      usage.newest(REPORTED_WINDOWS),
                      loads.ownLoads(timer.nowMillis()),
                      placer.recentPlacements(),
                      forwarder.waiting(),
                      crashes.suspectReports(),
                      engines.ownModels(),
                      limits.recentNotices(),
                      notices.recentlyLeaving(),
                      duties.releasedEpoch(),
                      storeEra,
                      config.version());
              return parts.withUsage() ? report : report.withoutUsage();
            },
            timer,
            log);
  }

  /** Returns a daemon that is not started. */
  public static ForwardDaemon of(
      ForwardSettings settings, Transport transport, Platform platform, EventLog log) {
    return new ForwardDaemon(settings, transport, platform, log);
  }

  /** Returns whether this entry is the first of all running ones in a round of a key. */
  private static boolean isFirstOfRound(
      String key, long round, DutyLoop.Identity self, PeerReports peers) {
    Set<String> running = new HashSet<>(peers.liveEntryIds());
    running.add(self.writer());
    return RendezvousHashing.first(key, round, running).equals(Optional.of(self.writer()));
  }

  /** Starts listening and following the store. */
  public void start() {
    upstreams.onChange(forwarder::fleetChanged);
    upstreams.onRead(crashes::upstreamsRead);
    config.setClockDriftHandler(configFollower::restart);
    config.setStoreRecoveryHandler(duties::runNow);
    store.onReturn(this::scheduleFullReads);
    duties.setFirstReadAction(
        eraIsRecent -> {
          if (eraIsRecent) {
            config.withholdConfirmations(OPERATOR_REWRITE_MILLIS);
          } else {
            config.endWithholding();
          }
        });
    crashes.onSuspicion(
        () -> {
          duties.runNow();
          peers.sendSoon();
        });
    metrics.registerGauge(ForwardMetrics.Gauge.BLOCKED_PARTS, crashes::blockedParts);
    metrics.registerGauge(ForwardMetrics.Gauge.OPEN_CONNECTIONS, callers::openConnections);
    metrics.registerGauge(ForwardMetrics.Gauge.CALLER_HELD_BYTES, callers::heldBytes);
    logBindFailure("callers", callers.listen(settings.callers()));
    logBindFailure("ready", TextServer.listen(transport, settings.ready(), path -> readyPage()));
    transport.loop().execute(this::follow);
    log.stateChange(
        "started",
        field("zone", settings.zone()),
        field("callers", settings.callers()),
        field("nativeTransport", transport.isNative()));
  }

  /**
   * Reads everything again after the store has come back from an older copy. The delay spreads the
   * reads of all entries.
   */
  private void scheduleFullReads() {
    long delayMillis = ThreadLocalRandom.current().nextLong(RETURN_READ_SPREAD_MILLIS);
    timer.after(
        delayMillis,
        () -> {
          configFollower.restart();
          upstreamFollower.restart();
          duties.runNow();
        });
  }

  private void follow() {
    config.withholdConfirmations(ConfigCache.PEER_REPORT_WAIT_MILLIS);
    configFollower.restart();
    upstreamFollower.restart();
    duties.start();
    peers.start();
    logBindFailure(
        "metrics",
        TextServer.listen(
            transport, settings.metrics(), path -> new TextServer.Page(OK, metricsPage.text())));
  }

  private void logBindFailure(String what, ChannelFuture bind) {
    bind.addListener(
        done -> {
          if (!done.isSuccess()) {
            log.stateChange(
                "not_listening", field("what", what), field("cause", String.valueOf(done.cause())));
          }
        });
  }

  private TextServer.Page readyPage() {
    boolean known = config.config().isPresent() && upstreams.isLoaded();
    boolean ready = !stopping && known && config.keysAreCurrent();
    return new TextServer.Page(ready ? OK : UNAVAILABLE, ready ? "ready" : "not ready");
  }

  /**
   * Handles a reload signal: re-reads the configuration from the store. The daemon's own settings
   * cannot change while it runs.
   */
  public void reload() {
    log.stateChange(
        "reload", field("config", config.config().map(each -> each.version()).orElse(-1L)));
    transport.loop().execute(configFollower::restart);
  }

  /**
   * Stops gracefully: leaves the load balancer, finishes running requests and hands over the
   * duties.
   *
   * @param onEnd action to run when the daemon has stopped
   */
  public void stop(Runnable onEnd) {
    transport.loop().execute(() -> beginStop(onEnd));
  }

  private void beginStop(Runnable onEnd) {
    if (stopping) {
      return;
    }
    stopping = true;
    log.stateChange(
        "stopping",
        field("running", forwarder.activeRequests()),
        field("connections", callers.openConnections()),
        field("graceMillis", settings.bounds().graceMillis()));
    callers.closeConnectionsAfterRequests();
    long nowMillis = timer.nowMillis();
    long lastMillis = nowMillis + settings.bounds().graceMillis() - FINAL_WRITES_MILLIS;
    forwarder.beginStop(nowMillis, nowMillis + DEREGISTRATION_MILLIS, lastMillis);
    timer.after(settings.bounds().graceMillis() / 2, this::stopSending);
    timer.after(DEREGISTRATION_MILLIS, () -> endAfterDeregistration(lastMillis, onEnd));
  }

  private void stopSending() {
    logStopPhase("sending_stopped");
    forwarder.stopSending();
  }

  private void endAfterDeregistration(long lastMillis, Runnable onEnd) {
    logStopPhase("deregistered");
    finishWhenIdle(lastMillis, onEnd);
  }

  private void logStopPhase(String phase) {
    log.stateChange(
        phase,
        field("running", forwarder.activeRequests()),
        field("connections", callers.openConnections()));
  }

  private void finishWhenIdle(long lastMillis, Runnable onEnd) {
    callers.closeIdle();
    if (!isIdle() && timer.nowMillis() < lastMillis) {
      timer.after(STOP_CHECK_MILLIS, () -> finishWhenIdle(lastMillis, onEnd));
      return;
    }
    finished = true;
    logStopPhase(isIdle() ? "stop_idle" : "stop_time_over");
    forwarder.answerAll();
    CompletableFuture<Boolean> left = duties.stop();
    peers.send();
    long exitMillis = lastMillis + FINAL_WRITES_MILLIS - EXIT_MILLIS;
    timer.after(exitMillis - timer.nowMillis(), () -> left.complete(false));
    left.thenAccept(written -> exitWhenIdle(written, exitMillis, onEnd));
  }

  private boolean isIdle() {
    return forwarder.activeRequests() == 0 && callers.openConnections() == 0;
  }

  /** Ends the process once all responses that have begun are written, or when the time is over. */
  private void exitWhenIdle(boolean lastRowsWritten, long exitMillis, Runnable onEnd) {
    if (!isIdle() && timer.nowMillis() < exitMillis) {
      timer.after(STOP_CHECK_MILLIS, () -> exitWhenIdle(lastRowsWritten, exitMillis, onEnd));
      return;
    }
    peers.send();
    forwarder.logCutByStop();
    log.stateChange(
        "stopped",
        field("running", forwarder.activeRequests()),
        field("connections", callers.openConnections()),
        field("lastRowsWritten", lastRowsWritten));
    onEnd.run();
  }
}
