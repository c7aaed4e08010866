package org.limpetvale.forward.fleet;

import static org.limpetvale.forward.log.EventLog.field;

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
 */
public final class UpstreamRegistry implements TableFollower.Subscriber {
  /** Time after the store's recovery within which running upstreams register again. */
  private static final long RECOVERY_GRACE_MILLIS = 2_200;

  private static final int MAX_UNUSABLE_ROWS = 500;

  private final RowDecoder decoder;
  private final TimerService timer;
  private final EventLog log;
  private final AtomicReference<FleetView> view = new AtomicReference<>(FleetView.empty());
  private final Map<String, Long> unusableVersions = new HashMap<>();
  private final Set<String> missing = new HashSet<>();
  private Consumer<FleetView> onChange = changed -> {};
  private boolean loaded;
  private long recoveredAtMillis = Long.MIN_VALUE / 2;

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

  /** Returns the current view of the upstreams. */
  public FleetView view() {
    return view.get();
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
  public void onConfirmed(Moment asOf) {}

  @Override
  public void onStoreRecovered() {
    recoveredAtMillis = timer.nowMillis();
  }

  private FleetView withRow(FleetView base, StoredRow row) {
    return switch (decoder.decodeUpstream(row)) {
      case RowDecoder.Decoded.Value<Upstream>(Upstream upstream) -> {
        missing.remove(upstream.id());
        Optional<Upstream> known = base.find(upstream.id());
        if (known.filter(upstream::equals).isPresent()) {
          yield base;
        }
        logUpstream(upstream, known.isPresent());
        yield base.with(upstream);
      }
      case RowDecoder.Decoded.Unusable<Upstream>(String reason) -> {
        logUnusable(row, reason);
        yield base.without(row.key());
      }
    };
  }

  private FleetView withoutOrPending(FleetView base, String id) {
    if (base.find(id).isEmpty()) {
      return base;
    }
    long sinceRecoveryMillis = timer.nowMillis() - recoveredAtMillis;
    if (sinceRecoveryMillis >= RECOVERY_GRACE_MILLIS) {
      log.stateChange("upstream_gone", field("upstream", id));
      return base.without(id);
    }
    if (missing.add(id)) {
      timer.after(RECOVERY_GRACE_MILLIS - sinceRecoveryMillis, () -> dropIfStillMissing(id));
    }
    return base;
  }

  private void dropIfStillMissing(String id) {
    if (missing.remove(id)) {
      log.stateChange("upstream_gone", field("upstream", id), field("after", "store outage"));
      publish(view.get().without(id));
    }
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
    Long previousVersion = unusableVersions.put(row.key(), row.version());
    if (previousVersion == null) {
      log.stateChange("upstream_unusable", field("upstream", row.key()), field("cause", reason));
    }
  }
}
