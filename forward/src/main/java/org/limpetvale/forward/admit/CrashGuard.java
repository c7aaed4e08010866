package org.limpetvale.forward.admit;

import static org.limpetvale.forward.log.EventLog.field;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.limpetvale.core.crash.CrashSuspects;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.accept.IncomingRequest;
import org.limpetvale.forward.duty.SharedSuspects;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.route.RequestPlan;

/**
 * Blocks requests that repeatedly crashed their upstream from being sent again. Must only be used
 * on the event loop.
 */
public final class CrashGuard implements SharedSuspects {
  private static final int DIGEST_BYTES = 8;
  private static final int MAX_FIRST_LOSSES = 256;

  private final CrashSuspects suspects = CrashSuspects.empty();
  private final TimerService timer;
  private final EventLog log;

  /** When a request's connection to a process was first lost, for the log. */
  private final Map<String, Long> firstLosses =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_FIRST_LOSSES;
        }
      };

  private Runnable onSuspicion = () -> {};
  private Set<String> knownProcessIds = Set.of();

  private CrashGuard(TimerService timer, EventLog log) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /** Returns a guard without suspects. */
  public static CrashGuard of(TimerService timer, EventLog log) {
    return new CrashGuard(timer, log);
  }

  /** Sets the action that runs when a request becomes suspected of one more upstream crash. */
  public void onSuspicion(Runnable action) {
    onSuspicion = Objects.requireNonNull(action, "action is null");
  }

  /** Returns whether a request has crashed so many upstreams that it must not be sent again. */
  public boolean isBlocked(IncomingRequest input, RequestPlan plan) {
    if (!suspects.hasSuspects(timer.nowMillis())) {
      return false;
    }
    return digest(input, plan)
        .filter(digest -> suspects.isBlocked(digest, timer.nowMillis()))
        .isPresent();
  }

  /** Records that the connection was lost while the upstream ran the request. */
  public void connectionLost(IncomingRequest input, RequestPlan plan, Upstream upstream) {
    digest(input, plan)
        .ifPresent(
            digest ->
                suspects.recordConnectionLoss(digest, processId(upstream), timer.nowMillis()));
    firstLosses.putIfAbsent(processId(upstream), timer.nowMillis());
  }

  /**
   * Records that an upstream ran a request and responded, possibly with an error. Either response
   * shows that the request did not crash the upstream.
   */
  public void answerReceived(IncomingRequest input, RequestPlan plan) {
    if (suspects.hasSuspects(timer.nowMillis())) {
      digest(input, plan).ifPresent(digest -> suspects.recordSuccess(digest, timer.nowMillis()));
    }
  }

  /** Records that connecting to an upstream failed, which counts as a crash of its process. */
  public void connectFailed(Upstream upstream) {
    processCrashed(processId(upstream), "connect_failed");
  }

  /** Records the current upstreams. A process that is no longer among them counts as crashed. */
  public void fleetChanged(FleetView view) {
    Set<String> now = new HashSet<>();
    view.all().forEach(upstream -> now.add(processId(upstream)));
    knownProcessIds.stream()
        .filter(process -> !now.contains(process))
        .forEach(process -> processCrashed(process, "row_removed"));
    knownProcessIds = Set.copyOf(now);
  }

  /**
   * Records a crash.
   *
   * @param cause how this entry learned of it, for the log
   */
  private void processCrashed(String process, String cause) {
    long nowMillis = timer.nowMillis();
    Map<String, Set<String>> before = suspects.localCrashes(nowMillis);
    suspects.recordCrash(process, nowMillis);
    Map<String, Set<String>> after = suspects.localCrashes(nowMillis);
    after.forEach(
        (digest, crashes) -> {
          if (crashes.size() > before.getOrDefault(digest, Set.of()).size()) {
            onSuspicion.run();
            log.stateChange(
                "crash_suspect",
                field("digest", digest),
                field("process", process),
                field("cause", cause),
                field("lossAgeMillis", nowMillis - firstLossMillis(process)),
                field("crashes", suspects.crashCount(digest, nowMillis)));
          }
        });
  }

  private long firstLossMillis(String process) {
    return firstLosses.getOrDefault(process, timer.nowMillis());
  }

  @Override
  public Map<String, Set<String>> localCrashes() {
    return suspects.localCrashes(timer.nowMillis());
  }

  @Override
  public void mergeCrashes(String writer, Map<String, Set<String>> crashes) {
    suspects.mergeCrashes(writer, crashes, timer.nowMillis());
  }

  /** Records the crashes that another entry reported. */
  public void peerReported(String peer, Map<String, Set<String>> crashes) {
    suspects.updatePeerCrashes(peer, crashes, timer.nowMillis());
  }

  /**
   * Returns a short id of an upstream's process; it is short because every peer report repeats it.
   */
  private static String processId(Upstream upstream) {
    return Integer.toHexString(Objects.hash(upstream.id(), upstream.startedMillis()));
  }

  /**
   * Returns a digest of path, workspace and body; empty if the whole body is no longer buffered.
   */
  private static Optional<String> digest(IncomingRequest input, RequestPlan plan) {
    if (!input.body().isFullyBuffered()) {
      return Optional.empty();
    }
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(input.head().uri().getBytes(StandardCharsets.UTF_8));
      digest.update((byte) 0);
      plan.workspace()
          .ifPresent(workspace -> digest.update(workspace.name().getBytes(StandardCharsets.UTF_8)));
      digest.update((byte) 0);
      digest.update(input.body().bytes());
      return Optional.of(HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
