package org.limpetvale.forward.fleet;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.Moment;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.RowDecoder;
import org.limpetvale.forward.spi.StoredRow;

/**
 * Holds the upstreams that have registered a description in the store.
 *
 * <p>Descriptions may expire while the store is unavailable although their upstreams are running.
 * An upstream whose description is missing shortly after the store's recovery is therefore kept
 * until a grace period for the registration has passed.
 *
 * <p>A store that has come back from an older copy may describe upstreams that are gone or leaving
 * as ready, until they have written again or their descriptions expire. What this entry knows goes
 * before such a description for that time.
 */
public final class UpstreamRegistry implements TableFollower.Subscriber {
  /** Time after the store's recovery within which running upstreams register again. */
  private static final long RECOVERY_GRACE_MILLIS = 2_200;

  /** Time in which upstreams write their descriptions again and those of ended ones expire. */
  private static final long RETURN_GRACE_MILLIS = 6_000;

  /** Time for which the end of an upstream is remembered. */
  private static final long ENDED_RETENTION_MILLIS = 120_000;

  private static final int MAX_UNUSABLE_ROWS = 500;

  private final RowDecoder decoder;
  private final TimerService timer;
  private final EventLog log;
  private final AtomicReference<FleetView> view = new AtomicReference<>(FleetView.empty());
  private final Map<String, StoreVersion> unusableVersions = new HashMap<>();
  private final Set<String> missing = new HashSet<>();
  private final Map<String, Ended> ended = new HashMap<>();
  private final Map<String, RowDecoder.Registration> lastHeartbeats = new HashMap<>();
  private final List<Upstream> newHeartbeats = new ArrayList<>();
  private Set<String> evacuatedZones = Set.of();
  private Consumer<FleetView> onChange = changed -> {};
  private ColdListener onColdStated = (upstream, coldMillis) -> {};
  private ReadListener onRead = (sentMillis, heartbeats) -> {};
  private boolean loaded;
  private long recoveredAtMillis = Long.MIN_VALUE / 2;
  private long returnedAtMillis = Long.MIN_VALUE / 2;
  private StoreVersion newestCopiedVersion = StoreVersion.NONE;

  /** Learns of each read of the descriptions. */
  @FunctionalInterface
  public interface ReadListener {
    /**
     * Called after a read.
     *
     * @param sentMillis when the reading call was sent, on the monotonic clock
     * @param heartbeats upstreams that have written their description since the read before
     */
    void onRead(long sentMillis, List<Upstream> heartbeats);
  }

  /** Learns what upstreams state about their start. */
  @FunctionalInterface
  public interface ColdListener {
    /**
     * Called for each new description.
     *
     * @param coldMillis how long the upstream is still cold; negative if it says nothing readable
     */
    void onColdStated(Upstream upstream, long coldMillis);
  }

  /** An upstream whose description has gone, and when that was seen. */
  private record Ended(Upstream upstream, long atMillis) {}

  private UpstreamRegistry(RowDecoder decoder, TimerService timer, EventLog log) {
    this.decoder = Objects.requireNonNull(decoder, "decoder is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /** Creates an empty registry. */
  public static UpstreamRegistry of(RowDecoder decoder, TimerService timer, EventLog log) {
    return new UpstreamRegistry(decoder, timer, log);
  }

  /** Sets the action that receives the new view after each change. */
  public void onChange(Consumer<FleetView> action) {
    onChange = Objects.requireNonNull(action, "action is null");
  }

  /** Sets the action that learns how long upstreams are still cold. */
  public void onColdStated(ColdListener action) {
    onColdStated = Objects.requireNonNull(action, "action is null");
  }

  /** Sets the action that learns of each read. */
  public void onRead(ReadListener action) {
    onRead = Objects.requireNonNull(action, "action is null");
  }

  /** Returns the current view of the upstreams. */
  public FleetView view() {
    return view.get();
  }

  /** Sets the zones to whose upstreams nothing may be sent, also to those that register later. */
  public void setEvacuatedZones(Set<String> zones) {
    logEvacuations("evacuation_began", zones, evacuatedZones);
    logEvacuations("evacuation_ended", evacuatedZones, zones);
    evacuatedZones = Set.copyOf(zones);
    publish(view.get().withEvacuatedZones(evacuatedZones));
  }

  /** Logs each zone that is in one set only; without upstreams, the zone may be misspelt. */
  private void logEvacuations(String event, Set<String> zones, Set<String> others) {
    zones.stream()
        .filter(zone -> !others.contains(zone))
        .forEach(
            zone ->
                log.stateChange(
                    event,
                    field("zone", zone),
                    field("upstreams", upstreamsIn(zone)),
                    field("upstreamsRead", loaded)));
  }

  private long upstreamsIn(String zone) {
    return view.get().all().stream().filter(each -> each.zone().equals(zone)).count();
  }

  /** Returns whether the upstreams have been read at least once. */
  public boolean isLoaded() {
    return loaded;
  }

  @Override
  public void onSnapshot(List<StoredRow> rows) {
    loaded = true;
    Set<String> present = new HashSet<>();
    FleetView next = view.get();
    for (StoredRow row : rows) {
      present.add(row.key());
      next = withRow(next, row);
    }
    for (Upstream known : next.all()) {
      if (!present.contains(known.id())) {
        next = withoutOrPending(next, known.id());
      }
    }
    publish(next);
  }

  @Override
  public void onUpdate(List<StoredRow> rows) {
    FleetView next = view.get();
    for (StoredRow row : rows) {
      next = row.removed() ? withoutOrPending(next, row.key()) : withRow(next, row);
    }
    publish(next);
  }

  @Override
  public void onConfirmed(Moment asOf) {
    List<Upstream> heartbeats = List.copyOf(newHeartbeats);
    newHeartbeats.clear();
    onRead.onRead(asOf.monotonicMillis(), heartbeats);
  }

  @Override
  public void onStoreRecovered() {
    recoveredAtMillis = timer.nowMillis();
  }

  @Override
  public void onStoreReturned(StoreVersion version) {
    recoveredAtMillis = timer.nowMillis();
    returnedAtMillis = timer.nowMillis();
    newestCopiedVersion = version;
  }

  /**
   * Returns whether a description may be from the copy and is older than what this entry knows of
   * its upstream.
   */
  private boolean isOutdated(FleetView base, StoredRow row, Upstream described) {
    boolean mayBeCopied =
        timer.nowMillis() - returnedAtMillis < RETURN_GRACE_MILLIS
            && !newestCopiedVersion.isBefore(row.version());
    if (!mayBeCopied) {
      return false;
    }
    Ended gone = ended.get(described.id());
    boolean hasEnded = gone != null && described.startedMillis() <= gone.upstream().startedMillis();
    return hasEnded
        || base.find(described.id()).filter(known -> isNewer(known, described)).isPresent();
  }

  private static boolean isNewer(Upstream known, Upstream described) {
    boolean leaves = known.draining() && !described.draining();
    return known.startedMillis() > described.startedMillis()
        || known.startedMillis() == described.startedMillis() && leaves;
  }

  /** Decodes a row; an exception of the decoder concerns this row only. */
  private RowDecoder.Decoded<RowDecoder.Registration> decode(StoredRow row) {
    try {
      return decoder.decodeUpstream(row);
    } catch (RuntimeException | StackOverflowError e) {
      return new RowDecoder.Decoded.Unusable<>("exception: " + e);
    }
  }

  private FleetView withRow(FleetView base, StoredRow row) {
    return switch (decode(row)) {
      case RowDecoder.Decoded.Value<RowDecoder.Registration>(
              RowDecoder.Registration registration) -> {
        Upstream upstream = registration.upstream();
        missing.remove(upstream.id());
        if (isOutdated(base, row, upstream)) {
          logOutdated(upstream);
          yield base;
        }
        ended.remove(upstream.id());
        noteHeartbeat(registration);
        Optional<Upstream> known = base.find(upstream.id());
        if (known.filter(upstream::equals).isPresent()) {
          yield base;
        }
        logUpstream(upstream, known.isPresent());
        yield base.with(upstream);
      }
      case RowDecoder.Decoded.Unusable<RowDecoder.Registration>(String reason) -> {
        logUnusable(row, reason);
        lastHeartbeats.remove(row.key());
        yield base.without(row.key());
      }
    };
  }

  private void noteHeartbeat(RowDecoder.Registration latest) {
    RowDecoder.Registration last = lastHeartbeats.put(latest.upstream().id(), latest);
    if (!latest.equals(last)) {
      onColdStated.onColdStated(latest.upstream(), latest.coldMillis());
    }
    if (last != null
        && last.upstream().isSameProcess(latest.upstream())
        && latest.heartbeats() > last.heartbeats()) {
      newHeartbeats.add(latest.upstream());
    }
  }

  private FleetView withoutOrPending(FleetView base, String id) {
    if (base.find(id).isEmpty()) {
      return base;
    }
    long sinceRecoveryMillis = timer.nowMillis() - recoveredAtMillis;
    if (sinceRecoveryMillis >= RECOVERY_GRACE_MILLIS) {
      log.stateChange("upstream_gone", field("upstream", id));
      return withoutEnded(base, id);
    }
    if (missing.add(id)) {
      timer.after(RECOVERY_GRACE_MILLIS - sinceRecoveryMillis, () -> dropIfStillMissing(id));
    }
    return base;
  }

  private void dropIfStillMissing(String id) {
    if (missing.remove(id)) {
      log.stateChange("upstream_gone", field("upstream", id), field("after", "store outage"));
      publish(withoutEnded(view.get(), id));
    }
  }

  private FleetView withoutEnded(FleetView base, String id) {
    long nowMillis = timer.nowMillis();
    ended.values().removeIf(each -> nowMillis - each.atMillis() > ENDED_RETENTION_MILLIS);
    base.find(id).ifPresent(each -> ended.put(id, new Ended(each, nowMillis)));
    lastHeartbeats.remove(id);
    return base.without(id);
  }

  private void logOutdated(Upstream upstream) {
    log.stateChange(
        "upstream_description_outdated",
        field("upstream", upstream.id()),
        field("draining", upstream.draining()));
  }

  private void publish(FleetView next) {
    if (next != view.get()) {
      view.set(next);
      onChange.accept(next);
    }
  }

  private void logUpstream(Upstream upstream, boolean known) {
    log.stateChange(
        known ? "upstream_changed" : "upstream_new",
        field("upstream", upstream.id()),
        field("service", upstream.service()),
        field("zone", upstream.zone()),
        field("draining", upstream.draining()));
  }

  private void logUnusable(StoredRow row, String reason) {
    if (unusableVersions.size() > MAX_UNUSABLE_ROWS) {
      unusableVersions.clear();
    }
    StoreVersion previousVersion = unusableVersions.put(row.key(), row.version());
    if (previousVersion == null) {
      log.stateChange("upstream_unusable", field("upstream", row.key()), field("cause", reason));
    }
  }
}
