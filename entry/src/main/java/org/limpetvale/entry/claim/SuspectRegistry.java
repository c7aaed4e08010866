package org.limpetvale.entry.claim;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.crash.Suspect;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.entry.config.SuspectGossip;
import org.limpetvale.ports.CommitResult;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.RowAgeTracker;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.Transaction;
import org.limpetvale.wire.SuspectNews;

/**
 * Tracks requests that were running when an upstream crashed. The crash counts are shared among
 * entries through the table and the peer exchange.
 */
public final class SuspectRegistry implements SuspectGossip {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String KEY_PREFIX = "suspects/";
  private static final long RETENTION_MILLIS = 600_000;
  private static final long PEER_UPDATE_MILLIS = 10_000;
  private static final long CLEANUP_PERIOD_MILLIS = 10_000;

  /** Time after which another attempt may take over an unfinished trial. */
  private static final long TRIAL_TIMEOUT_MILLIS = 120_000;

  private static final int MAX_WRITE_ATTEMPTS = 5;

  private final Table table;
  private final TimerService timer;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();
  private volatile Runnable peerNotifier = () -> {};

  private final RowAgeTracker ages;

  private record Entry(int crashes, long changedMillis) {}

  /** Tells whether a request may run. */
  public sealed interface Admission {
    /** The request may run without restrictions. */
    record Allowed() implements Admission {}

    /** The request may run as the only suspect on its upstream. */
    record Trial() implements Admission {}

    /** Another attempt is running the request now. */
    record TrialInProgress() implements Admission {}

    /** The request has reached the crash limit and is not run again. */
    record Blocked() implements Admission {}
  }

  /** Creates an empty registry. */
  public SuspectRegistry(Table table, TimerService timer) {
    this.table = Objects.requireNonNull(table, "table is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.ages = RowAgeTracker.of(timer);
    timer.every(CLEANUP_PERIOD_MILLIS, this::removeExpired);
  }

  /** Sets the action that sends updates to the peers immediately. */
  public void setPeerNotifier(Runnable notifier) {
    peerNotifier = Objects.requireNonNull(notifier, "notifier is null");
  }

  /** Decides whether a request may run; reads the table only for known suspects. */
  public Admission admit(String digest, String holder) {
    Entry known = entries.get(digest);
    if (known == null || known.crashes() == 0) {
      return new Admission.Allowed();
    }
    if (known.crashes() >= Suspect.MAX_CRASHES) {
      return new Admission.Blocked();
    }
    return claimTrial(digest, holder);
  }

  /**
   * Records that an upstream crashed while it ran a request. Updates the table and the reachable
   * peers before it returns.
   */
  public void recordCrash(String digest) {
    incrementCrashes(digest);
    peerNotifier.run();
  }

  private void incrementCrashes(String digest) {
    Entry entry =
        entries.compute(
            digest,
            (key, current) ->
                new Entry((current == null ? 0 : current.crashes()) + 1, timer.nowMillis()));
    logger.atWarning().log("suspect digest=%.16s crashes=%d", digest, entry.crashes());
    for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      Optional<Optional<Row>> read = table.get(KEY_PREFIX + digest).toOptional();
      if (read.isEmpty()) {
        return;
      }
      Suspect next =
          read.get()
              .map(row -> JsonCodec.readStored(row.value(), Suspect.class).withAnotherCrash())
              .orElseGet(() -> Suspect.afterFirstCrash(digest));
      mergeCrashes(digest, next.crashes());
      if (write(next, read.get()) instanceof CommitResult.Committed) {
        return;
      }
    }
  }

  /** Clears a suspect whose request ended without a crash. */
  public void recordSuccess(String digest) {
    entries.put(digest, new Entry(0, timer.nowMillis()));
    Optional<Row> row = table.get(KEY_PREFIX + digest).toOptional().flatMap(found -> found);
    row.ifPresent(
        found ->
            table.commit(
                new Transaction(
                    List.of(new Transaction.Check(found.key(), found.revision())),
                    List.of(),
                    List.of(found.key()))));
  }

  @Override
  public List<SuspectNews> recentUpdates() {
    long nowMillis = timer.nowMillis();
    return entries.entrySet().stream()
        .filter(each -> nowMillis - each.getValue().changedMillis() < PEER_UPDATE_MILLIS)
        .map(
            each ->
                SuspectNews.newBuilder()
                    .setDigest(each.getKey())
                    .setCrashes(each.getValue().crashes())
                    .build())
        .toList();
  }

  @Override
  public void receive(Collection<SuspectNews> updates) {
    updates.forEach(each -> mergeCrashes(each.getDigest(), each.getCrashes()));
  }

  private Admission claimTrial(String digest, String holder) {
    ReadResult<Optional<Row>> read = table.get(KEY_PREFIX + digest);
    if (!(read instanceof ReadResult.Success<Optional<Row>>(Optional<Row> row))) {
      // Without the table, only the crash counts of this entry and its peers are available.
      return new Admission.Trial();
    }
    Suspect stored =
        row.map(each -> JsonCodec.readStored(each.value(), Suspect.class))
            .orElseGet(() -> Suspect.afterFirstCrash(digest));
    if (stored.reachedCrashLimit()) {
      mergeCrashes(digest, stored.crashes());
      return new Admission.Blocked();
    }
    boolean heldElsewhere = !stored.trialHolder().isEmpty() && !stored.trialHolder().equals(holder);
    if (heldElsewhere && ages.unchangedMillis(row.orElseThrow()) <= TRIAL_TIMEOUT_MILLIS) {
      return new Admission.TrialInProgress();
    }
    return write(stored.withTrialHolder(holder), row) instanceof CommitResult.Conflict
        ? new Admission.TrialInProgress()
        : new Admission.Trial();
  }

  private CommitResult write(Suspect suspect, Optional<Row> storedRow) {
    return table.commit(
        Transaction.put(
            KEY_PREFIX + suspect.digest(),
            storedRow.map(Row::revision).orElse(0L),
            JsonCodec.write(suspect)));
  }

  private void mergeCrashes(String digest, int crashes) {
    entries.merge(
        digest,
        new Entry(crashes, timer.nowMillis()),
        (current, update) -> update.crashes() > current.crashes() ? update : current);
  }

  private void removeExpired() {
    long nowMillis = timer.nowMillis();
    ages.removeOlderThan(RETENTION_MILLIS);
    entries.values().removeIf(each -> nowMillis - each.changedMillis() > RETENTION_MILLIS);
  }
}
