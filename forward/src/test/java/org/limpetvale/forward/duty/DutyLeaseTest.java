package org.limpetvale.forward.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.Moment;
import org.limpetvale.forward.account.UsageCounts;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReports;
import org.limpetvale.forward.spi.RowPage;
import org.limpetvale.forward.spi.RowTransaction;
import org.limpetvale.forward.spi.StoreCommit;
import org.limpetvale.forward.spi.StoredRow;
import org.limpetvale.forward.testing.ManualTimer;

/**
 * Guards against a transaction of the duties that takes effect late, after a return of the store in
 * which the lease row has the same version number again.
 */
final class DutyLeaseTest {
  private static final long ERA = 2;
  private static final StoreVersion ERA_ROW_VERSION = new StoreVersion(ERA, 31);

  private final ManualTimer timer = new ManualTimer();
  private final DutyLease lease =
      new DutyLease(
          new DutyLoop.Identity("edge-1", "b", new InetSocketAddress("127.0.0.1", 1), 3_000),
          UsageCounts.of(5_000, timer::wallMillis),
          PeerReports.of(timer),
          new UnreadableRows(EventLog.silent()),
          timer,
          EventLog.silent());

  private static StoredRow row(String key, String text, long number) {
    return new StoredRow(key, text, new StoreVersion(ERA, number), false);
  }

  private void read(StoredRow... rows) {
    lease.applyPage(new RowPage(List.of(rows), new StoreVersion(ERA, 40), 0), false);
  }

  private DutyLease.Write write() {
    return lease.nextWrite(List.of(), Long.MIN_VALUE).orElseThrow();
  }

  private void commit(DutyLease.Write write, long number) {
    StoreCommit committed = new StoreCommit.Committed(new StoreVersion(ERA, number), 0);
    assertThat(lease.written(committed, write, Moment.now(timer))).isTrue();
  }

  private static RowTransaction.Condition requires(StoreVersion eraRowVersion) {
    return new RowTransaction.Condition(FleetRows.eraKey(ERA), eraRowVersion);
  }

  @Test
  void theFirstWriteOfAnEraReplacesTheRowsOfEarlierErasByItsOwn() {
    read(row("era/0", "{}", 5), row("era/1", "{}", 9));
    timer.advance(DutyLease.DURATION_MILLIS);
    RowTransaction first = write().transaction();
    assertThat(first.conditions()).contains(requires(StoreVersion.absentIn(ERA)));
    assertThat(first.writes())
        .extracting(RowTransaction.Write::key)
        .contains(FleetRows.eraKey(ERA), FleetRows.LEASE_KEY);
    assertThat(first.removals()).containsExactly("era/0", "era/1");
  }

  @Test
  void everyLaterTransactionRequiresTheRowOfItsEraUnchanged() {
    String eraRow = FleetRows.encodeEra(new FleetRows.EraRow(7, 6));
    read(row(FleetRows.eraKey(ERA), eraRow, ERA_ROW_VERSION.number()));
    timer.advance(DutyLease.DURATION_MILLIS);
    DutyLease.Write taken = write();
    assertThat(taken.transaction().conditions()).contains(requires(ERA_ROW_VERSION));
    commit(taken, 41);
    assertThat(write().transaction().conditions()).contains(requires(ERA_ROW_VERSION));
    HeldLease held = lease.held(() -> true).orElseThrow();
    assertThat(held.conditions()).contains(requires(ERA_ROW_VERSION));
    assertThat(held.firstWindow()).isEqualTo(7);
    assertThat(lease.release(ERA).orElseThrow().conditions()).contains(requires(ERA_ROW_VERSION));
  }

  @Test
  void theRowThatTheHolderWroteIsRequiredFromThenOn() {
    read();
    timer.advance(DutyLease.DURATION_MILLIS);
    commit(write(), 41);
    assertThat(write().transaction().conditions()).contains(requires(new StoreVersion(ERA, 41)));
  }

  @Test
  void withoutAHolderThatGoesOnWindowsThatMayHaveEndedBeforeTheEraAreNotSealed() {
    read();
    timer.advance(DutyLease.DURATION_MILLIS);
    commit(write(), 41);
    long currentWindow = timer.wallMillis() / 5_000;
    assertThat(lease.held(() -> true).orElseThrow().firstWindow()).isEqualTo(currentWindow + 1);
  }
}
