package org.limpetvale.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Whole requests as suspects: what is held against them, and what clears them. */
final class RequestSuspectsTest {
  private static final String CRASHING = RequestKey.of("bad");
  private static final String BYSTANDER = RequestKey.of("bystander");
  private static final long CONTACT_MILLIS = 3_000;
  private static final CrashSuspects.TrialTurn NEVER = (part, round) -> false;
  private static final CrashSuspects.TrialTurn ALWAYS = (part, round) -> true;

  private final CrashSuspects suspects = CrashSuspects.empty();
  private final Set<String> running = new HashSet<>(Set.of("a", "b", "c", "d", "e"));
  private long nowMillis = 1_000;

  private void lose(CrashSuspects at, String process, String... requests) {
    for (String request : requests) {
      at.recordLoss(List.of(request), process, request.substring(1), nowMillis - 100, nowMillis);
    }
  }

  /** Lets an upstream crash under requests that were sent after all losses before. */
  private void crash(String process, String... requests) {
    nowMillis += 500;
    lose(suspects, process, requests);
    suspects.recordCrash(process, nowMillis);
  }

  private void end(String... processes) {
    suspects.updateRunning(running);
    running.removeAll(List.of(processes));
    suspects.updateRunning(running).forEach(process -> suspects.recordCrash(process, nowMillis));
  }

  private static Map<String, PartReport> report(long served, String request, String... processes) {
    List<PartCrash> crashes =
        Arrays.stream(processes)
            .map(process -> new PartCrash(process, request.substring(1), 1, true))
            .toList();
    return Map.of(request, new PartReport(0, served, crashes));
  }

  private static Map<String, PartReport> crashes(String request, String... processes) {
    return report(PartReport.NEVER_SERVED, request, processes);
  }

  private boolean isBlocked(CrashSuspects at, String request) {
    return at.blockedPart(List.of(request), new Object(), NEVER, nowMillis).isPresent();
  }

  private boolean isBlocked(String request) {
    return isBlocked(suspects, request);
  }

  private int crashCount(String request) {
    return suspects.reports(nowMillis).containsKey(request)
        ? suspects.reports(nowMillis).get(request).crashes().size()
        : 0;
  }

  @Test
  void aRequestThatCrashedThreeUpstreamsIsBlocked() {
    crash("a", CRASHING);
    crash("b", CRASHING);
    assertThat(isBlocked(CRASHING)).isFalse();
    crash("c", CRASHING);
    assertThat(isBlocked(CRASHING)).isTrue();
  }

  /** Three upstreams that crash at once are one event, whatever ran there. */
  @Test
  void aRequestThatThreeUpstreamsLostAtOnceIsNotBlocked() {
    lose(suspects, "a", BYSTANDER);
    lose(suspects, "b", BYSTANDER);
    lose(suspects, "c", BYSTANDER);
    nowMillis += 3_600;
    end("a", "b", "c");
    assertThat(crashCount(BYSTANDER)).isEqualTo(3);
    assertThat(isBlocked(BYSTANDER)).isFalse();
  }

  @Test
  void anAnswerBetweenALossAndTheEndOfItsProcessClearsTheRequest() {
    for (String process : List.of("a", "b", "c")) {
      nowMillis += 500;
      lose(suspects, process, BYSTANDER);
    }
    nowMillis += 100;
    suspects.recordAnswered(BYSTANDER, nowMillis);
    end("a", "b", "c");
    assertThat(crashCount(BYSTANDER)).isZero();
    assertThat(isBlocked(BYSTANDER)).isFalse();
  }

  @Test
  void anAnswerBetweenALossAndTheEndOfItsProcessClearsPromptPartsToo() {
    for (String process : List.of("a", "b", "c")) {
      nowMillis += 500;
      suspects.recordLoss(List.of("part"), process, process, nowMillis - 100, nowMillis);
    }
    suspects.recordServed(List.of("part"), nowMillis + 100);
    end("a", "b", "c");
    assertThat(crashCount("part")).isZero();
  }

  /** What a partition of the network looks like: connections are reset, then refused. */
  @Test
  void crashesOfProcessesThatTurnOutToBeAliveAreDropped() {
    suspects.updateRunning(running);
    crash("a", BYSTANDER);
    crash("b", BYSTANDER);
    crash("c", BYSTANDER);
    assertThat(isBlocked(BYSTANDER)).isTrue();
    assertThat(suspects.isSettled(BYSTANDER)).isFalse();
    suspects.recordHeartbeats(nowMillis + 100, running);
    assertThat(isBlocked(BYSTANDER)).as("heartbeats that may be from before the loss").isTrue();
    suspects.recordHeartbeats(nowMillis + 200, Set.of("a"));
    assertThat(crashCount(BYSTANDER)).isEqualTo(2);
    assertThat(isBlocked(BYSTANDER)).isFalse();
  }

  @Test
  void anEntryThatOnlyHeardOfCrashesDropsThemForProcessesThatAreAlive() {
    suspects.updateRunning(running);
    suspects.updatePeer("edge-2", crashes(BYSTANDER, "a", "b", "c"), nowMillis);
    assertThat(isBlocked(BYSTANDER)).isTrue();
    suspects.recordHeartbeats(nowMillis + 1, Set.of());
    suspects.recordHeartbeats(nowMillis + 2, Set.of("b"));
    assertThat(isBlocked(BYSTANDER)).isFalse();
    suspects.updatePeer("edge-2", crashes(BYSTANDER, "a", "b", "c"), nowMillis);
    assertThat(isBlocked(BYSTANDER)).as("after the same report again").isFalse();
    suspects.updateRunning(Set.of("a", "c"));
    suspects.updatePeer("edge-2", crashes(BYSTANDER, "a", "b", "c"), nowMillis);
    assertThat(isBlocked(BYSTANDER)).as("after the process has ended").isTrue();
  }

  @Test
  void aProcessThatCrashesAfterAllCountsAgain() {
    suspects.updateRunning(running);
    crash("a", CRASHING);
    suspects.recordHeartbeats(nowMillis + 1, Set.of());
    suspects.recordHeartbeats(nowMillis + 2, Set.of("a"));
    assertThat(crashCount(CRASHING)).isZero();
    crash("a", CRASHING);
    assertThat(crashCount(CRASHING)).isEqualTo(1);
  }

  @Test
  void aBlockIsSettledOnceThreeProcessesHaveEndedForCertain() {
    suspects.updateRunning(running);
    crash("a", CRASHING);
    crash("b", CRASHING);
    crash("c", CRASHING);
    assertThat(isBlocked(CRASHING)).isTrue();
    end("a", "b");
    assertThat(isBlocked(CRASHING)).isTrue();
    assertThat(suspects.isSettled(CRASHING)).isFalse();
    end("c");
    assertThat(isBlocked(CRASHING)).isTrue();
    assertThat(suspects.isSettled(CRASHING)).isTrue();
  }

  @Test
  void oneRequestInTheFleetTriesABlockedRequestAndItsAnswerLiftsTheBlockEverywhere() {
    CrashSuspects other = CrashSuspects.empty();
    crash("a", CRASHING);
    crash("b", CRASHING);
    crash("c", CRASHING);
    other.updatePeer("edge-1", suspects.reports(nowMillis), nowMillis);
    assertThat(isBlocked(CRASHING)).isTrue();
    assertThat(isBlocked(other, CRASHING)).isTrue();
    nowMillis += 10_100;
    assertThat(suspects.blockedPart(List.of(CRASHING), "trial", ALWAYS, nowMillis)).isEmpty();
    assertThat(suspects.blockedPart(List.of(CRASHING), "next", ALWAYS, nowMillis)).isPresent();
    suspects.recordAnswered(CRASHING, nowMillis);
    assertThat(isBlocked(CRASHING)).isFalse();
    other.updatePeer("edge-1", suspects.reports(nowMillis), nowMillis);
    assertThat(isBlocked(other, CRASHING)).isFalse();
  }

  /** As while no upstream is up: the trial would be taken for nothing for 10 s. */
  @Test
  void theTrialOfARequestThatEndedUnsentIsGrantedToAnother() {
    crash("a", CRASHING);
    crash("b", CRASHING);
    crash("c", CRASHING);
    assertThat(isBlocked(CRASHING)).isTrue();
    nowMillis += 10_100;
    assertThat(suspects.blockedPart(List.of(CRASHING), "unsent", ALWAYS, nowMillis)).isEmpty();
    suspects.requestEndedUnsent("unsent");
    assertThat(suspects.blockedPart(List.of(CRASHING), "next", ALWAYS, nowMillis)).isEmpty();
  }

  @Test
  void aClearedRequestIsNotSuspectedAgainByTheSameCrashesFromReportsOrRows() {
    Map<String, PartReport> row = crashes(CRASHING, "a", "b", "c");
    suspects.mergeRow("ended", row, nowMillis);
    assertThat(isBlocked(CRASHING)).isTrue();
    suspects.recordAnswered(CRASHING, nowMillis);
    suspects.mergeRow("ended", row, nowMillis);
    suspects.mergeRow("ended too", row, nowMillis);
    suspects.updatePeer("running", row, nowMillis);
    assertThat(isBlocked(CRASHING)).isFalse();
  }

  @Test
  void aServedRequestIsAlsoClearedInReportsOfTerminatedEntries() {
    suspects.updatePeer("ended", crashes(CRASHING, "a", "b"), nowMillis);
    suspects.updatePeer("running", crashes(CRASHING, "c"), nowMillis);
    assertThat(isBlocked(CRASHING)).isTrue();
    suspects.updatePeer("running", report(1, CRASHING), nowMillis);
    assertThat(isBlocked(CRASHING)).isFalse();
    suspects.updatePeer("ended too", crashes(CRASHING, "a", "b"), nowMillis);
    crash("d", CRASHING);
    assertThat(isBlocked(CRASHING)).as("one crash since it was served").isFalse();
  }

  @Test
  void aLostConnectionWithoutACrashMakesNoSuspect() {
    lose(suspects, "a", CRASHING);
    lose(suspects, "b", CRASHING);
    lose(suspects, "c", CRASHING);
    assertThat(suspects.hasSuspects()).isFalse();
  }

  @Test
  void aCrashLongAfterTheConnectionLossIsNotAttributedToTheRequest() {
    lose(suspects, "a", CRASHING);
    nowMillis += 10_000;
    suspects.recordCrash("a", nowMillis);
    assertThat(suspects.hasSuspects()).isFalse();
  }

  @Test
  void twoConnectionLossesInOneCrashCountOnce() {
    crash("a", CRASHING, CRASHING);
    crash("a", CRASHING);
    assertThat(crashCount(CRASHING)).isEqualTo(1);
  }

  @Test
  void aBystanderThatIsServedLaterIsNotBlocked() {
    crash("a", CRASHING, BYSTANDER);
    suspects.recordAnswered(BYSTANDER, nowMillis);
    crash("b", CRASHING, BYSTANDER);
    suspects.recordAnswered(BYSTANDER, nowMillis);
    crash("c", CRASHING, BYSTANDER);
    assertThat(isBlocked(CRASHING)).isTrue();
    assertThat(isBlocked(BYSTANDER)).isFalse();
  }

  @Test
  void crashesReportedByOtherEntriesCount() {
    crash("a", CRASHING);
    suspects.updatePeer("edge-2", crashes(CRASHING, "b"), nowMillis);
    suspects.updatePeer("edge-3", crashes(CRASHING, "c"), nowMillis);
    assertThat(isBlocked(CRASHING)).isTrue();
    assertThat(crashCount(CRASHING)).as("crashes that this entry reports").isEqualTo(1);
  }

  @Test
  void aCrashReportedBySeveralEntriesCountsOnce() {
    crash("a", CRASHING);
    suspects.updatePeer("edge-2", crashes(CRASHING, "a"), nowMillis);
    suspects.updatePeer("edge-3", crashes(CRASHING, "a"), nowMillis);
    assertThat(isBlocked(CRASHING)).isFalse();
  }

  @Test
  void anOlderRowOfAnEntryDoesNotOverrideItsLastReport() {
    suspects.updatePeer("edge-2", crashes(CRASHING, "a", "b"), nowMillis);
    suspects.updatePeer("edge-3", report(1, BYSTANDER), nowMillis);
    suspects.mergeRow("edge-2", Map.of(), nowMillis);
    suspects.mergeRow("edge-2", crashes(CRASHING, "c"), nowMillis);
    suspects.mergeRow("edge-3", crashes(BYSTANDER, "a", "b", "c"), nowMillis);
    assertThat(isBlocked(CRASHING)).isTrue();
    assertThat(isBlocked(BYSTANDER)).isFalse();
  }

  @Test
  void aPeerReportThatARequestWasServedIsAppliedOnce() {
    CrashSuspects other = CrashSuspects.empty();
    crash("a", BYSTANDER);
    other.updatePeer("edge-1", suspects.reports(nowMillis), nowMillis);
    other.recordAnswered(BYSTANDER, nowMillis);
    suspects.updatePeer("edge-2", other.reports(nowMillis), nowMillis);
    assertThat(crashCount(BYSTANDER)).isZero();
    crash("b", BYSTANDER);
    suspects.updatePeer("edge-2", other.reports(nowMillis), nowMillis);
    assertThat(crashCount(BYSTANDER)).isEqualTo(1);
  }

  @Test
  void suspectsThatAreNotBlockedExpire() {
    crash("a", CRASHING);
    crash("b", CRASHING);
    nowMillis += 61_000;
    crash("c", CRASHING);
    assertThat(crashCount(CRASHING)).isEqualTo(1);
    assertThat(isBlocked(CRASHING)).isFalse();
  }

  @Test
  void aBlockEndsAQuarterOfAnHourAfterTheLastRequest() {
    crash("a", CRASHING);
    crash("b", CRASHING);
    crash("c", CRASHING);
    assertThat(isBlocked(CRASHING)).isTrue();
    nowMillis += 901_000;
    assertThat(isBlocked(CRASHING)).isFalse();
  }

  /**
   * At most three retries may reach upstreams later than the contact time after the third crash.
   */
  @Test
  void aRequestThatCrashesEveryUpstreamIsStoppedWithoutWaitingForTheEndOfItsProcesses() {
    suspects.updateRunning(running);
    int sent = 0;
    for (String process : List.of("a", "b", "c", "d", "e")) {
      if (!isBlocked(CRASHING)) {
        sent++;
        crash(process, CRASHING);
      }
    }
    assertThat(nowMillis).isLessThan(1_000 + CONTACT_MILLIS);
    assertThat(sent).isEqualTo(3);
  }
}
