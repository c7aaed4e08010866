package org.limpetvale.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class CrashSuspectsTest {
  private static final String BAD = "bad";
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
  void aRequestThatCrashedThreeUpstreamsIsNotRunAgain() {
    crash("a", BAD);
    crash("b", BAD);
    assertThat(suspects.isBlocked(BAD, nowMillis)).isFalse();
    crash("c", BAD);
    assertThat(suspects.isBlocked(BAD, nowMillis)).isTrue();
  }

  @Test
  void aRequestThatIsServedIsNoSuspectOfEntriesThatHaveEndedEither() {
    suspects.updatePeerCrashes("ended", Map.of(BAD, Set.of("a", "b")), nowMillis);
    suspects.updatePeerCrashes("running", Map.of(BAD, Set.of("c")), nowMillis);
    assertThat(suspects.isBlocked(BAD, nowMillis)).isTrue();
    suspects.updatePeerCrashes("running", Map.of(BAD, Set.of()), nowMillis);
    assertThat(suspects.crashCount(BAD, nowMillis)).isZero();
    suspects.updatePeerCrashes("ended too", Map.of(BAD, Set.of("a", "b")), nowMillis);
    suspects.recordSuccess(BAD, nowMillis);
    assertThat(suspects.crashCount(BAD, nowMillis)).isZero();
  }

  @Test
  void aLostConnectionAloneMakesNoSuspect() {
    suspects.recordConnectionLoss(BAD, "a", nowMillis);
    suspects.recordConnectionLoss(BAD, "b", nowMillis);
    suspects.recordConnectionLoss(BAD, "c", nowMillis);
    assertThat(suspects.hasSuspects(nowMillis)).isFalse();
  }

  @Test
  void aCrashLongAfterTheLossIsNotPutDownToIt() {
    suspects.recordConnectionLoss(BAD, "a", nowMillis);
    suspects.recordCrash("a", nowMillis + 10_000);
    assertThat(suspects.hasSuspects(nowMillis + 10_000)).isFalse();
  }

  @Test
  void twoLossesInOneCrashCountOnce() {
    crash("a", BAD, BAD);
    crash("a", BAD);
    assertThat(suspects.crashCount(BAD, nowMillis)).isEqualTo(1);
  }

  @Test
  void aBystanderThatIsServedLaterIsNoSuspect() {
    crash("a", BAD, BYSTANDER);
    suspects.recordSuccess(BYSTANDER, nowMillis);
    crash("b", BAD, BYSTANDER);
    suspects.recordSuccess(BYSTANDER, nowMillis);
    crash("c", BAD, BYSTANDER);
    assertThat(suspects.isBlocked(BAD, nowMillis)).isTrue();
    assertThat(suspects.isBlocked(BYSTANDER, nowMillis)).isFalse();
  }

  @Test
  void crashesAtOtherEntriesCountToo() {
    crash("a", BAD);
    suspects.updatePeerCrashes("edge-2", Map.of(BAD, Set.of("b")), nowMillis);
    suspects.updatePeerCrashes("edge-3", Map.of(BAD, Set.of("c")), nowMillis);
    assertThat(suspects.isBlocked(BAD, nowMillis)).isTrue();
    assertThat(suspects.localCrashes(nowMillis)).isEqualTo(Map.of(BAD, Set.of("a")));
  }

  @Test
  void aCrashThatSeveralEntriesSawCountsOnce() {
    crash("a", BAD);
    suspects.updatePeerCrashes("edge-2", Map.of(BAD, Set.of("a")), nowMillis);
    suspects.updatePeerCrashes("edge-3", Map.of(BAD, Set.of("a")), nowMillis);
    assertThat(suspects.crashCount(BAD, nowMillis)).isEqualTo(1);
  }

  @Test
  void aRowOfAnEntryThatHasEndedDoesNotBringBackWhatWasServedSince() {
    suspects.updatePeerCrashes("running", Map.of(BYSTANDER, Set.of()), nowMillis);
    suspects.mergeCrashes(
        "ended", Map.of(BYSTANDER, Set.of("a", "b", "c"), BAD, Set.of("a")), nowMillis);
    assertThat(suspects.crashCount(BYSTANDER, nowMillis)).isZero();
    assertThat(suspects.crashCount(BAD, nowMillis)).isEqualTo(1);
    suspects.recordSuccess(BAD, nowMillis);
    suspects.mergeCrashes("ended too", Map.of(BAD, Set.of("b", "c")), nowMillis);
    assertThat(suspects.crashCount(BAD, nowMillis)).isZero();
  }

  @Test
  void anOlderRowOfAnEntryDoesNotTakeBackWhatTheEntryTold() {
    suspects.updatePeerCrashes(
        "edge-2", Map.of(BAD, Set.of("a", "b"), BYSTANDER, Set.of()), nowMillis);
    suspects.mergeCrashes("edge-2", Map.of(), nowMillis);
    assertThat(suspects.crashCount(BAD, nowMillis)).isEqualTo(2);
    suspects.mergeCrashes("edge-2", Map.of(BAD, Set.of("c"), BYSTANDER, Set.of("a")), nowMillis);
    assertThat(suspects.crashCount(BAD, nowMillis)).isEqualTo(3);
    assertThat(suspects.crashCount(BYSTANDER, nowMillis)).isZero();
  }

  @Test
  void thatARequestWasServedReachesTheOtherEntriesOnce() {
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
  void suspectsAreForgottenInTheEnd() {
    crash("a", BAD);
    crash("b", BAD);
    crash("c", BAD);
    assertThat(suspects.hasSuspects(nowMillis + 61_000)).isFalse();
  }
}
