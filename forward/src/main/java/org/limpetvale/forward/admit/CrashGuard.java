package org.limpetvale.forward.admit;

import static org.limpetvale.forward.log.EventLog.field;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.limpetvale.core.crash.BoundedMap;
import org.limpetvale.core.crash.CrashSuspects;
import org.limpetvale.core.crash.PartBlock;
import org.limpetvale.core.crash.PartReport;
import org.limpetvale.core.crash.RequestKey;
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
 * those with a prompt part on which upstreams crash. Translates requests and upstreams to the keys
 * by which {@link CrashSuspects} knows them. Must only be used on the event loop.
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
  private final TimerService timer;
  private final EventLog log;

  /** When a request's connection to a process was first lost, for the log. */
  private final BoundedMap<Long> firstLosses = BoundedMap.of(MAX_FIRST_LOSSES);

  private Runnable onSuspicion = () -> {};
  private CrashSuspects.TrialTurn trialTurns = (part, round) -> true;

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
   *     then no evidence
   */
  public record LostRun(
      Upstream upstream, long sentMillis, boolean answered, boolean upstreamLeft) {
    public LostRun {
      Objects.requireNonNull(upstream, "upstream is null");
    }
  }

  /** Sets which entry may try a blocked part; without it, this one always may. */
  public void setTrialTurns(CrashSuspects.TrialTurn turns) {
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
    if (!suspects.hasSuspects()) {
      return Optional.empty();
    }
    long nowMillis = timer.nowMillis();
    Optional<String> blocked =
        suspects.blockedPart(keys(requestKey(input, plan), shape), input, trialTurns, nowMillis);
    blocked.ifPresent(each -> suspects.recordRefusal(each, nowMillis));
    return blocked.map(this::refusal);
  }

  private Refusal refusal(String blocked) {
    return RequestKey.isRequest(blocked) ? requestRefusal(blocked) : partRefusal(blocked);
  }

  private Refusal requestRefusal(String blocked) {
    return suspects.isSettled(blocked)
        ? Refusal.of(
            ResultCode.REQUEST_CRASHES_UPSTREAMS, "upstreams crashed each time that it was run")
        : Refusal.of(
            ResultCode.REQUEST_SUSPECTED,
            "upstreams were lost each time that it was run",
            SUSPECTED_RETRY_MILLIS);
  }

  private Refusal partRefusal(String part) {
    return suspects.isSettled(part)
        ? Refusal.of(
            ResultCode.PROMPT_PART_CRASHES_UPSTREAMS,
            "upstreams crashed on each request with part " + part)
        : Refusal.of(
            ResultCode.PROMPT_PART_SUSPECTED,
            "upstreams crashed on requests with part " + part,
            SUSPECTED_RETRY_MILLIS);
  }

  /**
   * Records that the connection was lost while the upstream ran the request.
   *
   * @param lost where and when it ran
   */
  public void connectionLost(
      IncomingRequest input, RequestPlan plan, RequestHead head, LostRun lost) {
    if (lost.upstreamLeft()) {
      return;
    }
    long nowMillis = timer.nowMillis();
    String process = processId(lost.upstream());
    firstLosses.putIfAbsent(process, nowMillis);
    Optional<String> digest = digest(input, plan);
    String request = digest.orElseGet(() -> Integer.toHexString(head.requestId().hashCode()));
    String shortId = request.substring(0, Math.min(request.length(), REQUEST_ID_LENGTH));
    List<String> keys = keys(digest.map(RequestKey::of), head.shape());
    if (lost.answered()) {
      suspects.recordUnprovenAnswer(keys, process, shortId, lost.sentMillis(), nowMillis);
    } else {
      suspects.recordLoss(keys, process, shortId, lost.sentMillis(), nowMillis);
    }
  }

  /**
   * Records that an upstream ran a request and responded, possibly with an error. Either response
   * shows that the request did not crash the upstream.
   */
  public void answerReceived(IncomingRequest input, RequestPlan plan) {
    if (suspects.awaitsAnswers()) {
      requestKey(input, plan).ifPresent(key -> suspects.recordAnswered(key, timer.nowMillis()));
    }
  }

  /** Records that a request was answered completely and with success. */
  public void requestServed(IncomingRequest input, RequestPlan plan, PromptShape shape) {
    answerReceived(input, plan);
    suspects.recordServed(partIds(shape), timer.nowMillis());
  }

  /** Records that a request ended without being sent to an upstream. */
  public void requestEndedUnsent(IncomingRequest input) {
    suspects.requestEndedUnsent(input);
  }

  /** Returns whether a crash of an upstream would count against requests that were lost there. */
  public boolean awaitsConfirmation(Upstream upstream) {
    return suspects.awaitsConfirmation(processId(upstream));
  }

  /**
   * Records that an upstream refused a connection, as after a crash of its process. A partition of
   * the network may refuse connections too, so this counts only until the process is found alive. A
   * connection that timed out shows nothing.
   */
  public void connectFailed(Upstream upstream, boolean refused) {
    if (refused) {
      recordCrash(processId(upstream), "connect_refused");
    }
  }

  /** Records the current upstreams. A process that is no longer among them has ended. */
  public void fleetChanged(FleetView view) {
    Set<String> running =
        view.all().stream().map(CrashGuard::processId).collect(Collectors.toSet());
    suspects.updateRunning(running).forEach(process -> recordCrash(process, "row_removed"));
  }

  /**
   * Records a read of the upstreams' descriptions.
   *
   * @param sentMillis when the reading call was sent, on the monotonic clock
   * @param heartbeats upstreams that have written their description since the read before
   */
  public void upstreamsRead(long sentMillis, List<Upstream> heartbeats) {
    List<String> processes = heartbeats.stream().map(CrashGuard::processId).toList();
    Set<String> alive = suspects.recordHeartbeats(sentMillis, processes);
    alive.forEach(process -> log.stateChange("crash_disproved", field("process", process)));
    if (!alive.isEmpty()) {
      logBlocks();
    }
  }

  /**
   * Records a crash against the requests that were lost with it, and their parts.
   *
   * @param cause how this entry learned of it, for the log
   */
  private void recordCrash(String process, String cause) {
    long nowMillis = timer.nowMillis();
    Map<String, Integer> crashesByPart = suspects.recordCrash(process, nowMillis);
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

  /** Returns the parts in most crashes, each with the number of crashes. */
  private static String summary(Map<String, Integer> crashesByPart) {
    return crashesByPart.entrySet().stream()
        .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
        .limit(MAX_LOGGED_PARTS)
        .map(each -> each.getKey() + "=" + each.getValue())
        .collect(Collectors.joining(","));
  }

  private void logBlocks() {
    for (PartBlock change : suspects.takeChanges(timer.nowMillis())) {
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
    return suspects.blockedParts(timer.nowMillis());
  }

  private long firstLossMillis(String process) {
    return firstLosses.getOrDefault(process, timer.nowMillis());
  }

  @Override
  public Map<String, PartReport> suspectReports() {
    logBlocks();
    return suspects.reports(timer.nowMillis());
  }

  @Override
  public void mergeSuspects(String writer, Map<String, PartReport> reports) {
    suspects.mergeRow(writer, reports, timer.nowMillis());
  }

  /** Records the suspects that another entry reported. */
  public void peerReported(PeerReport report) {
    suspects.updatePeer(report.writer(), report.suspects(), timer.nowMillis());
  }

  /** Returns the keys of what may crash upstreams: the parts of a request, then the request. */
  private static List<String> keys(Optional<String> requestKey, PromptShape shape) {
    return Stream.concat(partIds(shape).stream(), requestKey.stream()).toList();
  }

  private static Optional<String> requestKey(IncomingRequest input, RequestPlan plan) {
    return digest(input, plan).map(RequestKey::of);
  }

  /** Returns the ids of the parts that other requests may contain. */
  private static List<String> partIds(PromptShape shape) {
    return shape.sharedParts().stream().map(part -> partKey(part.id())).distinct().toList();
  }

  /** Returns a part's id; a digest of it if it is long or may be mistaken for a request. */
  private static String partKey(String id) {
    return id.length() > MAX_PART_ID_LENGTH || RequestKey.isRequest(id) ? digest(id) : id;
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
