package org.limpetvale.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class CrashSuspectsTest {
  private static final String CRASHING = "bad";
  private static final String BYSTANDER = "bystander";

  private final CrashSuspects suspects = CrashSuspects.empty();
  private long nowMillis = 1_000;

  private void crash(String process, String... running) {
    for (String digest : running) {
      suspects.recordConnectionLoss(digest, process, nowMillis);
    }
    suspects.recordCrash(process, nowMillis += 500);
  }

  @Test
  void aRequestThatCrashedThreeUpstreamsIsBlocked() {
    crash("a", CRASHING);
    crash("b", CRASHING);
    assertThat(suspects.isBlocked(CRASHING, nowMillis)).isFalse();
    crash("c", CRASHING);
    assertThat(suspects.isBlocked(CRASHING, nowMillis)).isTrue();
  }

  @Test
  void aServedRequestIsAlsoClearedInReportsOfTerminatedEntries() {
    suspects.updatePeerCrashes("ended", Map.of(CRASHING, Set.of("a", "b")), nowMillis);
    suspects.updatePeerCrashes("running", Map.of(CRASHING, Set.of("c")), nowMillis);
    assertThat(suspects.isBlocked(CRASHING, nowMillis)).isTrue();
    suspects.updatePeerCrashes("running", Map.of(CRASHING, Set.of()), nowMillis);
    assertThat(suspects.crashCount(CRASHING, nowMillis)).isZero();
    suspects.updatePeerCrashes("ended too", Map.of(CRASHING, Set.of("a", "b")), nowMillis);
    suspects.recordSuccess(CRASHING, nowMillis);
    assertThat(suspects.crashCount(CRASHING, nowMillis)).isZero();
  }

  @Test
  void aLostConnectionWithoutACrashMakesNoSuspect() {
    suspects.recordConnectionLoss(CRASHING, "a", nowMillis);
    suspects.recordConnectionLoss(CRASHING, "b", nowMillis);
    suspects.recordConnectionLoss(CRASHING, "c", nowMillis);
    assertThat(suspects.hasSuspects(nowMillis)).isFalse();
  }

  @Test
  void aCrashLongAfterTheConnectionLossIsNotAttributedToTheRequest() {
    suspects.recordConnectionLoss(CRASHING, "a", nowMillis);
    suspects.recordCrash("a", nowMillis + 10_000);
    assertThat(suspects.hasSuspects(nowMillis + 10_000)).isFalse();
  }

  @Test
  void twoConnectionLossesInOneCrashCountOnce() {
    crash("a", CRASHING, CRASHING);
    crash("a", CRASHING);
    assertThat(suspects.crashCount(CRASHING, nowMillis)).isEqualTo(1);
  }

  @Test
  void aBystanderThatIsServedLaterIsNotBlocked() {
    crash("a", CRASHING, BYSTANDER);
    suspects.recordSuccess(BYSTANDER, nowMillis);
    crash("b", CRASHING, BYSTANDER);
    suspects.recordSuccess(BYSTANDER, nowMillis);
    crash("c", CRASHING, BYSTANDER);
    assertThat(suspects.isBlocked(CRASHING, nowMillis)).isTrue();
    assertThat(suspects.isBlocked(BYSTANDER, nowMillis)).isFalse();
  }

  @Test
  void crashesReportedByOtherEntriesCount() {
    crash("a", CRASHING);
    suspects.updatePeerCrashes("edge-2", Map.of(CRASHING, Set.of("b")), nowMillis);
    suspects.updatePeerCrashes("edge-3", Map.of(CRASHING, Set.of("c")), nowMillis);
    assertThat(suspects.isBlocked(CRASHING, nowMillis)).isTrue();
    assertThat(suspects.localCrashes(nowMillis)).isEqualTo(Map.of(CRASHING, Set.of("a")));
  }

  @Test
  void aCrashReportedBySeveralEntriesCountsOnce() {
    crash("a", CRASHING);
    suspects.updatePeerCrashes("edge-2", Map.of(CRASHING, Set.of("a")), nowMillis);
    suspects.updatePeerCrashes("edge-3", Map.of(CRASHING, Set.of("a")), nowMillis);
    assertThat(suspects.crashCount(CRASHING, nowMillis)).isEqualTo(1);
  }

  @Test
  void aRowOfATerminatedEntryDoesNotRestoreClearedSuspects() {
    suspects.updatePeerCrashes("running", Map.of(BYSTANDER, Set.of()), nowMillis);
    suspects.mergeCrashes(
        "ended", Map.of(BYSTANDER, Set.of("a", "b", "c"), CRASHING, Set.of("a")), nowMillis);
    assertThat(suspects.crashCount(BYSTANDER, nowMillis)).isZero();
    assertThat(suspects.crashCount(CRASHING, nowMillis)).isEqualTo(1);
    suspects.recordSuccess(CRASHING, nowMillis);
    suspects.mergeCrashes("ended too", Map.of(CRASHING, Set.of("b", "c")), nowMillis);
    assertThat(suspects.crashCount(CRASHING, nowMillis)).isZero();
  }

  @Test
  void anOlderRowOfAnEntryDoesNotOverrideItsLastReport() {
    suspects.updatePeerCrashes(
        "edge-2", Map.of(CRASHING, Set.of("a", "b"), BYSTANDER, Set.of()), nowMillis);
    suspects.mergeCrashes("edge-2", Map.of(), nowMillis);
    assertThat(suspects.crashCount(CRASHING, nowMillis)).isEqualTo(2);
    suspects.mergeCrashes(
        "edge-2", Map.of(CRASHING, Set.of("c"), BYSTANDER, Set.of("a")), nowMillis);
    assertThat(suspects.crashCount(CRASHING, nowMillis)).isEqualTo(3);
    assertThat(suspects.crashCount(BYSTANDER, nowMillis)).isZero();
  }

  @Test
  void aPeerReportThatARequestWasServedIsAppliedOnce() {
    CrashSuspects other = CrashSuspects.empty();
    crash("a", BYSTANDER);
    other.updatePeerCrashes("edge-1", suspects.localCrashes(nowMillis), nowMillis);
    other.recordSuccess(BYSTANDER, nowMillis);
    suspects.updatePeerCrashes("edge-2", other.localCrashes(nowMillis), nowMillis);
    assertThat(suspects.crashCount(BYSTANDER, nowMillis)).isZero();
    crash("b", BYSTANDER);
    suspects.updatePeerCrashes("edge-2", other.localCrashes(nowMillis), nowMillis);
    assertThat(suspects.crashCount(BYSTANDER, nowMillis)).isEqualTo(1);
  }

  @Test
  void suspectsExpire() {
    crash("a", CRASHING);
    crash("b", CRASHING);
    crash("c", CRASHING);
    assertThat(suspects.hasSuspects(nowMillis + 61_000)).isFalse();
  }
}
