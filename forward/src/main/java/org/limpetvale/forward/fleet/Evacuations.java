package org.limpetvale.forward.fleet;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.limpetvale.core.fleet.EvacuationOrders;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.Moment;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.RowDecoder;
import org.limpetvale.forward.spi.StoredRow;

/**
 * Holds the operator's orders to evacuate availability zones and passes all rows on to the holder
 * of the configuration. Must only be used on the event loop.
 *
 * <p>Orders are applied before the configuration of the same read, so an entry that has a
 * configuration knows the orders. While the store cannot be read, the last known orders stay.
 */
public final class Evacuations implements TableFollower.Subscriber {
  /** Time after a return from an older copy in which the operator writes its orders again. */
  private static final long OPERATOR_REWRITE_MILLIS = 10_000;

  private final RowDecoder decoder;
  private final TableFollower.Subscriber next;
  private final TimerService timer;
  private final EventLog log;
  private EvacuationOrders orders = EvacuationOrders.NONE;
  private Consumer<Set<String>> onChange = zones -> {};
  private Optional<Long> returnedAtMillis = Optional.empty();
  private StoreVersion unusableVersion = StoreVersion.NONE;

  private Evacuations(
      RowDecoder decoder, TableFollower.Subscriber next, TimerService timer, EventLog log) {
    this.decoder = Objects.requireNonNull(decoder, "decoder is null");
    this.next = Objects.requireNonNull(next, "next is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /**
   * Returns an instance without orders.
   *
   * @param next receives all that is read, after the orders have been applied
   */
  public static Evacuations of(
      RowDecoder decoder, TableFollower.Subscriber next, TimerService timer, EventLog log) {
    return new Evacuations(decoder, next, timer, log);
  }

  /** Sets the action that receives the evacuated zones after each change. */
  public void onChange(Consumer<Set<String>> action) {
    onChange = Objects.requireNonNull(action, "action is null");
  }

  /** Returns the evacuated zones. */
  public Set<String> zones() {
    return orders.zones();
  }

  @Override
  public void onSnapshot(List<StoredRow> rows) {
    Set<String> stored = new HashSet<>();
    for (StoredRow row : rows) {
      if (!row.removed()) {
        zone(row).ifPresent(stored::add);
      }
    }
    install(orders.afterFullRead(stored, mayLackOrders()));
    next.onSnapshot(rows);
  }

  @Override
  public void onUpdate(List<StoredRow> rows) {
    EvacuationOrders updated = orders;
    for (StoredRow row : rows) {
      Optional<String> zone = zone(row);
      if (zone.isPresent()) {
        updated = row.removed() ? updated.ended(zone.get()) : updated.begun(zone.get());
      }
    }
    install(updated);
    next.onUpdate(rows);
  }

  @Override
  public void onConfirmed(Moment asOf) {
    next.onConfirmed(asOf);
  }

  @Override
  public void onStoreReturned(StoreVersion version) {
    returnedAtMillis = Optional.of(timer.nowMillis());
    next.onStoreReturned(version);
  }

  @Override
  public void onStoreRecovered() {
    next.onStoreRecovered();
  }

  private boolean mayLackOrders() {
    return returnedAtMillis
        .filter(returned -> timer.nowMillis() - returned < OPERATOR_REWRITE_MILLIS)
        .isPresent();
  }

  /** Returns the zone that a row orders to evacuate; empty if it is no usable order. */
  private Optional<String> zone(StoredRow row) {
    return switch (decoder.decodeEvacuation(row)) {
      case RowDecoder.Evacuation.None() -> Optional.empty();
      case RowDecoder.Evacuation.OfZone(String zone) -> Optional.of(zone);
      case RowDecoder.Evacuation.Unusable(String reason) -> {
        logUnusable(row, reason);
        yield Optional.empty();
      }
    };
  }

  private void logUnusable(StoredRow row, String reason) {
    if (!row.version().equals(unusableVersion)) {
      unusableVersion = row.version();
      log.stateChange(
          "evacuation_unusable",
          field("key", row.key()),
          field("row", row.version()),
          field("cause", reason));
    }
  }

  private void install(EvacuationOrders updated) {
    if (!updated.equals(orders)) {
      orders = updated;
      onChange.accept(updated.zones());
    }
  }
}
