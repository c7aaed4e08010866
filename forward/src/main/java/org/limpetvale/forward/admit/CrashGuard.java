package org.limpetvale.forward.admit;

import static org.limpetvale.forward.log.EventLog.field;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.limpetvale.core.crash.BoundedMap;
import org.limpetvale.core.crash.CrashSuspects;
import org.limpetvale.core.crash.PartBlock;
import org.limpetvale.core.crash.PartReport;
import org.limpetvale.core.crash.PartSuspects;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.PromptShape;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.accept.IncomingRequest;
import org.limpetvale.forward.duty.SharedSuspects;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.route.RequestPlan;
import org.limpetvale.forward.spi.RequestHead;

/**
 * Keeps requests from upstreams that crash on them: those that crashed their upstreams before, and
 * those with a prompt part on which upstreams crash. Must only be used on the event loop.
 */
public final class CrashGuard implements SharedSuspects {
  private static final int DIGEST_BYTES = 8;
  private static final int MAX_FIRST_LOSSES = 256;

  private static final int REQUEST_ID_LENGTH = 8;
  private static final int MAX_PART_ID_LENGTH = 64;
  private static final int MAX_LOGGED_PARTS = 8;

  /** Retry delay while an answer that would lift the block may still be on its way. */
  private static final long SUSPECTED_RETRY_MILLIS = 2_000;

  private final CrashSuspects suspects = CrashSuspects.empty();
  private final PartSuspects parts = PartSuspects.empty();
  private final TimerService timer;
  private final EventLog log;

  /** When a request's connection to a process was first lost, for the log. */
  private final BoundedMap<Long> firstLosses = BoundedMap.of(MAX_FIRST_LOSSES);

  private Runnable onSuspicion = () -> {};
  private PartSuspects.TrialTurn trialTurns = (part, round) -> true;
  private Set<String> knownProcessIds = Set.of();

  private CrashGuard(TimerService timer, EventLog log) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /** Returns a guard without suspects. */
  public static CrashGuard of(TimerService timer, EventLog log) {
    return new CrashGuard(timer, log);
  }

  /**
   * A run whose connection was lost.
   *
   * @param sentMillis when the request was sent to the upstream
   * @param answered whether its answer is whole as far as can be told, and ended with the
   *     connection
   * @param upstreamLeft whether the upstream was known to be leaving or gone before; its end is
   *     then no evidence against the parts of the request's prompt
   */
  public record LostRun(
      Upstream upstream, long sentMillis, boolean answered, boolean upstreamLeft) {
    public LostRun {
      Objects.requireNonNull(upstream, "upstream is null");
    }
  }

  /** Sets which entry may try a blocked part; without it, this one always may. */
  public void setTrialTurns(PartSuspects.TrialTurn turns) {
    trialTurns = Objects.requireNonNull(turns, "turns is null");
  }

  /** Sets the action that runs when a request becomes suspected of one more upstream crash. */
  public void onSuspicion(Runnable action) {
    onSuspicion = Objects.requireNonNull(action, "action is null");
  }

  /**
   * Returns why a request must not be sent to an upstream; empty if it may.
   *
   * @param shape parts of its prompt
   */
  public Optional<Refusal> refusal(IncomingRequest input, RequestPlan plan, PromptShape shape) {
    return blockedRequest(input, plan).or(() -> blockedPart(input, shape));
  }

  private Optional<Refusal> blockedRequest(IncomingRequest input, RequestPlan plan) {
    if (!suspects.hasSuspects(timer.nowMillis())) {
      return Optional.empty();
    }
    return digest(input, plan)
        .filter(digest -> suspects.isBlocked(digest, timer.nowMillis()))
        .map(
            digest ->
                Refusal.of(
                    ResultCode.REQUEST_CRASHES_UPSTREAMS,
                    "upstreams crashed each time that it was run"));
  }

  private Optional<Refusal> blockedPart(IncomingRequest input, PromptShape shape) {
    if (!parts.hasSuspects()) {
      return Optional.empty();
    }
    long nowMillis = timer.nowMillis();
    Optional<String> blocked = parts.blockedPart(partIds(shape), input, trialTurns, nowMillis);
    blocked.ifPresent(part -> parts.recordRefusal(part, nowMillis));
    return blocked.map(
        part ->
            parts.isSettled(part)
                ? Refusal.of(
                    ResultCode.PROMPT_PART_CRASHES_UPSTREAMS,
                    "upstreams crashed on each request with part " + part)
                : Refusal.of(
                    ResultCode.PROMPT_PART_SUSPECTED,
                    "upstreams crashed on requests with part " + part,
                    SUSPECTED_RETRY_MILLIS));
  }

  /**
   * Records that the connection was lost while the upstream ran the request.
   *
   * @param lost where and when it ran
   */
  public void connectionLost(
      IncomingRequest input, RequestPlan plan, RequestHead head, LostRun lost) {
    Upstream upstream = lost.upstream();
    long nowMillis = timer.nowMillis();
    Optional<String> digest = digest(input, plan);
    digest.ifPresent(each -> suspects.recordConnectionLoss(each, processId(upstream), nowMillis));
    firstLosses.putIfAbsent(processId(upstream), nowMillis);
    if (lost.upstreamLeft()) {
      return;
    }
    String request = digest.orElseGet(() -> Integer.toHexString(head.requestId().hashCode()));
    String shortId = request.substring(0, Math.min(request.length(), REQUEST_ID_LENGTH));
    List<String> partIds = partIds(head.shape());
    if (lost.answered()) {
      parts.recordUnprovenAnswer(
          partIds, processId(upstream), shortId, lost.sentMillis(), nowMillis);
    } else {
      parts.recordLoss(partIds, processId(upstream), shortId, lost.sentMillis(), nowMillis);
    }
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

  /** Records that a request was answered completely and with success. */
  public void requestServed(IncomingRequest input, RequestPlan plan, PromptShape shape) {
    answerReceived(input, plan);
    parts.recordServed(partIds(shape), timer.nowMillis());
  }

  /** Returns whether a crash of an upstream would confirm that requests were lost with it. */
  public boolean awaitsConfirmation(Upstream upstream) {
    return parts.awaitsConfirmation(processId(upstream));
  }

  /**
   * Records that connecting to an upstream failed, which counts as a crash of its process. Against
   * prompt parts it counts only if the connection was refused: an entry that is cut off reaches
   * none of the upstreams, and a part stands in many requests.
   */
  public void connectFailed(Upstream upstream, boolean refused) {
    String process = processId(upstream);
    confirmRequests(process, "connect_failed", timer.nowMillis());
    if (refused) {
      confirmParts(process, "connect_refused");
    }
  }

  /** Records the current upstreams. A process that is no longer among them counts as crashed. */
  public void fleetChanged(FleetView view) {
    Set<String> now = new HashSet<>();
    view.all().forEach(upstream -> now.add(processId(upstream)));
    knownProcessIds.stream()
        .filter(process -> !now.contains(process))
        .forEach(
            process -> {
              confirmRequests(process, "row_removed", timer.nowMillis());
              confirmParts(process, "row_removed");
            });
    knownProcessIds = Set.copyOf(now);
  }

  /**
   * Records a crash against the parts of the requests that were lost with it.
   *
   * @param cause how this entry learned of it, for the log
   */
  private void confirmParts(String process, String cause) {
    long nowMillis = timer.nowMillis();
    Map<String, Integer> crashesByPart = parts.recordCrash(process, nowMillis);
    if (!crashesByPart.isEmpty()) {
      log.stateChange(
          "crash_evidence",
          field("process", process),
          field("cause", cause),
          field("lossAgeMillis", nowMillis - firstLossMillis(process)),
          field("parts", summary(crashesByPart)));
      onSuspicion.run();
    }
    logBlocks();
  }

  private void confirmRequests(String process, String cause, long nowMillis) {
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

  /** Returns the parts in most crashes, each with the number of crashes. */
  private static String summary(Map<String, Integer> crashesByPart) {
    return crashesByPart.entrySet().stream()
        .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
        .limit(MAX_LOGGED_PARTS)
        .map(each -> each.getKey() + "=" + each.getValue())
        .collect(Collectors.joining(","));
  }

  private void logBlocks() {
    for (PartBlock change : parts.takeChanges(timer.nowMillis())) {
      log.stateChange(
          change.blocked() ? "part_blocked" : "part_released",
          field("part", change.part()),
          field("crashes", change.crashes()),
          field("requests", change.requests()),
          field("familiar", change.familiar()));
    }
  }

  /** Returns the number of prompt parts that are blocked. */
  public int blockedParts() {
    return parts.blockedParts(timer.nowMillis());
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

  @Override
  public Map<String, PartReport> partReports() {
    logBlocks();
    return parts.reports(timer.nowMillis());
  }

  @Override
  public void mergeParts(String writer, Map<String, PartReport> reports) {
    parts.mergeRow(writer, reports, timer.nowMillis());
  }

  /** Records the suspects that another entry reported. */
  public void peerReported(PeerReport report) {
    suspects.updatePeerCrashes(report.writer(), report.crashes(), timer.nowMillis());
    parts.updatePeer(report.writer(), report.parts(), timer.nowMillis());
  }

  /** Returns the ids of the parts that other requests may contain; long ids are digested. */
  private static List<String> partIds(PromptShape shape) {
    return shape.sharedParts().stream()
        .map(part -> part.id().length() <= MAX_PART_ID_LENGTH ? part.id() : digest(part.id()))
        .distinct()
        .toList();
  }

  private static String digest(String text) {
    MessageDigest digest = sha256();
    digest.update(text.getBytes(StandardCharsets.UTF_8));
    return hex(digest);
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
    MessageDigest digest = sha256();
    digest.update(input.head().uri().getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
    plan.workspace()
        .ifPresent(workspace -> digest.update(workspace.name().getBytes(StandardCharsets.UTF_8)));
    digest.update((byte) 0);
    digest.update(input.body().bytes());
    return Optional.of(hex(digest));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }

  private static String hex(MessageDigest digest) {
    return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
  }
}
