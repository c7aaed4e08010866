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
      suspects.lost(digest, process, nowMillis);
    }
    suspects.crashed(process, nowMillis += 500);
  }

  @Test
  void aRequestThatCrashedThreeUpstreamsIsNotRunAgain() {
    crash("a", BAD);
    crash("b", BAD);
    assertThat(suspects.condemned(BAD, nowMillis)).isFalse();
    crash("c", BAD);
    assertThat(suspects.condemned(BAD, nowMillis)).isTrue();
  }

  @Test
  void aRequestThatIsServedIsNoSuspectOfEntriesThatHaveEndedEither() {
    suspects.heard("ended", Map.of(BAD, Set.of("a", "b")), nowMillis);
    suspects.heard("running", Map.of(BAD, Set.of("c")), nowMillis);
    assertThat(suspects.condemned(BAD, nowMillis)).isTrue();
    suspects.heard("running", Map.of(BAD, Set.of()), nowMillis);
    assertThat(suspects.crashes(BAD, nowMillis)).isZero();
    suspects.heard("ended too", Map.of(BAD, Set.of("a", "b")), nowMillis);
    suspects.served(BAD, nowMillis);
    assertThat(suspects.crashes(BAD, nowMillis)).isZero();
  }

  @Test
  void aLostConnectionAloneMakesNoSuspect() {
    suspects.lost(BAD, "a", nowMillis);
    suspects.lost(BAD, "b", nowMillis);
    suspects.lost(BAD, "c", nowMillis);
    assertThat(suspects.any(nowMillis)).isFalse();
  }

  @Test
  void aCrashLongAfterTheLossIsNotPutDownToIt() {
    suspects.lost(BAD, "a", nowMillis);
    suspects.crashed("a", nowMillis + 10_000);
    assertThat(suspects.any(nowMillis + 10_000)).isFalse();
  }

  @Test
  void twoLossesInOneCrashCountOnce() {
    crash("a", BAD, BAD);
    crash("a", BAD);
    assertThat(suspects.crashes(BAD, nowMillis)).isEqualTo(1);
  }

  @Test
  void aBystanderThatIsServedLaterIsNoSuspect() {
    crash("a", BAD, BYSTANDER);
    suspects.served(BYSTANDER, nowMillis);
    crash("b", BAD, BYSTANDER);
    suspects.served(BYSTANDER, nowMillis);
    crash("c", BAD, BYSTANDER);
    assertThat(suspects.condemned(BAD, nowMillis)).isTrue();
    assertThat(suspects.condemned(BYSTANDER, nowMillis)).isFalse();
  }

  @Test
  void crashesAtOtherEntriesCountToo() {
    crash("a", BAD);
    suspects.heard("edge-2", Map.of(BAD, Set.of("b")), nowMillis);
    suspects.heard("edge-3", Map.of(BAD, Set.of("c")), nowMillis);
    assertThat(suspects.condemned(BAD, nowMillis)).isTrue();
    assertThat(suspects.toTell(nowMillis)).isEqualTo(Map.of(BAD, Set.of("a")));
  }

  @Test
  void aCrashThatSeveralEntriesSawCountsOnce() {
    crash("a", BAD);
    suspects.heard("edge-2", Map.of(BAD, Set.of("a")), nowMillis);
    suspects.heard("edge-3", Map.of(BAD, Set.of("a")), nowMillis);
    assertThat(suspects.crashes(BAD, nowMillis)).isEqualTo(1);
  }

  @Test
  void aRowOfAnEntryThatHasEndedDoesNotBringBackWhatWasServedSince() {
    suspects.heard("running", Map.of(BYSTANDER, Set.of()), nowMillis);
    suspects.read("ended", Map.of(BYSTANDER, Set.of("a", "b", "c"), BAD, Set.of("a")), nowMillis);
    assertThat(suspects.crashes(BYSTANDER, nowMillis)).isZero();
    assertThat(suspects.crashes(BAD, nowMillis)).isEqualTo(1);
    suspects.served(BAD, nowMillis);
    suspects.read("ended too", Map.of(BAD, Set.of("b", "c")), nowMillis);
    assertThat(suspects.crashes(BAD, nowMillis)).isZero();
  }

  @Test
  void anOlderRowOfAnEntryDoesNotTakeBackWhatTheEntryTold() {
    suspects.heard("edge-2", Map.of(BAD, Set.of("a", "b"), BYSTANDER, Set.of()), nowMillis);
    suspects.read("edge-2", Map.of(), nowMillis);
    assertThat(suspects.crashes(BAD, nowMillis)).isEqualTo(2);
    suspects.read("edge-2", Map.of(BAD, Set.of("c"), BYSTANDER, Set.of("a")), nowMillis);
    assertThat(suspects.crashes(BAD, nowMillis)).isEqualTo(3);
    assertThat(suspects.crashes(BYSTANDER, nowMillis)).isZero();
  }

  @Test
  void thatARequestWasServedReachesTheOtherEntriesOnce() {
    CrashSuspects other = CrashSuspects.empty();
    crash("a", BYSTANDER);
    other.heard("edge-1", suspects.toTell(nowMillis), nowMillis);
    other.served(BYSTANDER, nowMillis);
    suspects.heard("edge-2", other.toTell(nowMillis), nowMillis);
    assertThat(suspects.crashes(BYSTANDER, nowMillis)).isZero();
    crash("b", BYSTANDER);
    suspects.heard("edge-2", other.toTell(nowMillis), nowMillis);
    assertThat(suspects.crashes(BYSTANDER, nowMillis)).isEqualTo(1);
  }

  @Test
  void suspectsAreForgottenInTheEnd() {
    crash("a", BAD);
    crash("b", BAD);
    crash("c", BAD);
    assertThat(suspects.any(nowMillis + 61_000)).isFalse();
  }
}
