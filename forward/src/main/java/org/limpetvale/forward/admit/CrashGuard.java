package org.limpetvale.forward.admit;

import static org.limpetvale.forward.log.EventLog.field;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.HexFormat;
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

/** Keeps requests that crash their upstreams from running again; for the event loop only. */
public final class CrashGuard implements SharedSuspects {
  private static final int DIGEST_BYTES = 8;

  private final CrashSuspects suspects = CrashSuspects.empty();
  private final TimerService timer;
  private final EventLog log;
  private Runnable onSuspicion = () -> {};
  private Set<String> processes = Set.of();

  private CrashGuard(TimerService timer, EventLog log) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /** Returns a guard without suspects. */
  public static CrashGuard of(TimerService timer, EventLog log) {
    return new CrashGuard(timer, log);
  }

  /** Sets what is done when a request is found to have crashed another upstream. */
  public void onSuspicion(Runnable action) {
    onSuspicion = Objects.requireNonNull(action, "action is null");
  }

  // -- requests

  /** Tells whether a request has crashed so many upstreams that it is not run again. */
  public boolean isBlocked(IncomingRequest input, RequestPlan plan) {
    if (!suspects.hasSuspects(timer.nowMillis())) {
      return false;
    }
    return digest(input, plan)
        .filter(digest -> suspects.isBlocked(digest, timer.nowMillis()))
        .isPresent();
  }

  /** Notes that the connection of a running request was lost. */
  public void connectionLost(IncomingRequest input, RequestPlan plan, Upstream upstream) {
    digest(input, plan)
        .ifPresent(
            digest -> suspects.recordConnectionLoss(digest, process(upstream), timer.nowMillis()));
  }

  /**
   * Notes that an upstream has run a request and answered, be it with a failure of its own; so the
   * request does not crash what runs it.
   */
  public void answerReceived(IncomingRequest input, RequestPlan plan) {
    if (suspects.hasSuspects(timer.nowMillis())) {
      digest(input, plan).ifPresent(digest -> suspects.recordSuccess(digest, timer.nowMillis()));
    }
  }

  // -- upstreams

  /** Notes that no connection to an upstream could be made. */
  public void connectFailed(Upstream upstream) {
    crashed(process(upstream));
  }

  /** Notes which upstreams there are. */
  public void fleetChanged(FleetView view) {
    Set<String> now = new HashSet<>();
    view.all().forEach(upstream -> now.add(process(upstream)));
    processes.stream().filter(process -> !now.contains(process)).forEach(this::crashed);
    processes = Set.copyOf(now);
  }

  private void crashed(String process) {
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
                field("crashes", suspects.crashCount(digest, nowMillis)));
          }
        });
  }

  // -- other entries

  @Override
  public Map<String, Set<String>> localCrashes() {
    return suspects.localCrashes(timer.nowMillis());
  }

  @Override
  public void mergeCrashes(String writer, Map<String, Set<String>> crashes) {
    suspects.mergeCrashes(writer, crashes, timer.nowMillis());
  }

  /** Notes what another entry tells. */
  public void peerReported(String peer, Map<String, Set<String>> crashes) {
    suspects.updatePeerCrashes(peer, crashes, timer.nowMillis());
  }

  // -- parts

  /** Returns a short name of an upstream's process, as it is told often. */
  private static String process(Upstream upstream) {
    return Integer.toHexString(Objects.hash(upstream.id(), upstream.startedMillis()));
  }

  /** Returns a digest of path, workspace and body; empty when the body is not kept. */
  private static Optional<String> digest(IncomingRequest input, RequestPlan plan) {
    if (!input.body().isFullyBuffered()) {
      return Optional.empty();
    }
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(input.head().uri().getBytes(StandardCharsets.UTF_8));
      digest.update((byte) 0);
      plan.workspace()
          .ifPresent(each -> digest.update(each.name().getBytes(StandardCharsets.UTF_8)));
      digest.update((byte) 0);
      digest.update(input.body().bytes());
      return Optional.of(HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
