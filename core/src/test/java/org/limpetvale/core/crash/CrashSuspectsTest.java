package org.limpetvale.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class CrashSuspectsTest {
  private static final String BAD = "bad";
  private static final String COMMON = "common";
  private static final long WARM_MILLIS = 11_000;
  private static final CrashSuspects.TrialTurn NEVER = (part, round) -> false;

  private final CrashSuspects suspects = CrashSuspects.empty();
  private long nowMillis = 1_000;
  private int processes;
  private int requests;

  /** Lets the entry serve prompts with the common part and become able to tell new parts. */
  private void warmUp() {
    suspects.recordServed(List.of(COMMON), nowMillis);
    nowMillis += WARM_MILLIS;
  }

  private void lose(CrashSuspects at, String process, long sentMillis, String... parts) {
    at.recordLoss(List.of(parts), process, "r" + ++requests, sentMillis, nowMillis);
  }

  /** Lets an upstream crash under a request that was sent just before. */
  private void crash(CrashSuspects at, String... parts) {
    String process = "p" + ++processes;
    nowMillis += 200;
    lose(at, process, nowMillis - 100, parts);
    at.recordCrash(process, nowMillis);
  }

  private void blockTheBadPart() {
    warmUp();
    crash(suspects, BAD);
    crash(suspects, BAD);
    crash(suspects, BAD);
    assertThat(isBlocked(suspects, BAD)).isTrue();
  }

  private boolean isBlocked(CrashSuspects at, String... parts) {
    return at.blockedPart(List.of(parts), new Object(), NEVER, nowMillis).isPresent();
  }

  private void exchange(CrashSuspects first, CrashSuspects second) {
    Map<String, PartReport> report = first.reports(nowMillis);
    first.updatePeer("second", second.reports(nowMillis), nowMillis);
    second.updatePeer("first", report, nowMillis);
  }

  @Test
  void aNewPartIsBlockedAfterThreeCrashesUnderDifferentRequests() {
    warmUp();
    crash(suspects, COMMON, BAD);
    crash(suspects, COMMON, BAD);
    assertThat(isBlocked(suspects, COMMON, BAD)).isFalse();
    crash(suspects, COMMON, BAD);
    assertThat(isBlocked(suspects, COMMON, BAD, "other")).isTrue();
    assertThat(isBlocked(suspects, COMMON, "other")).isFalse();
  }

  @Test
  void oneRequestThatCrashesItsUpstreamsByItselfBlocksNoneOfItsParts() {
    warmUp();
    for (int i = 0; i < 6; i++) {
      nowMillis += 200;
      suspects.recordLoss(List.of("own"), "p" + i, "same", nowMillis - 100, nowMillis);
      suspects.recordCrash("p" + i, nowMillis);
    }
    assertThat(isBlocked(suspects, "own")).isFalse();
  }

  @Test
  void partsOfRequestsThatManyUpstreamsLoseAtOnceAreNotBlocked() {
    warmUp();
    for (int i = 0; i < 12; i++) {
      lose(suspects, "p" + i, nowMillis - 500, COMMON, "new");
    }
    for (int i = 0; i < 12; i++) {
      suspects.recordCrash("p" + i, nowMillis);
    }
    nowMillis += 3_000;
    assertThat(isBlocked(suspects, COMMON, "new")).isFalse();
  }

  @Test
  void aLostConnectionWithoutACrashIsNoEvidence() {
    warmUp();
    for (int i = 0; i < 6; i++) {
      lose(suspects, "p" + i, nowMillis += 100, BAD);
    }
    assertThat(isBlocked(suspects, BAD)).isFalse();
  }

  @Test
  void anAnswerThatEndedWithItsConnectionIsNoKnownLossUntilItsUpstreamCrashes() {
    warmUp();
    suspects.recordUnprovenAnswer(List.of("new"), "p0", "r0", nowMillis - 50, nowMillis);
    nowMillis += 100;
    for (int i = 1; i <= 3; i++) {
      lose(suspects, "p" + i, nowMillis - 50, "new");
    }
    for (int i = 1; i <= 3; i++) {
      suspects.recordCrash("p" + i, nowMillis);
    }
    assertThat(isBlocked(suspects, "new")).isFalse();
    assertThat(suspects.recordCrash("p0", nowMillis)).containsEntry("new", 4);
  }

  @Test
  void aPartThatIsServedInBetweenIsCleared() {
    warmUp();
    crash(suspects, BAD);
    crash(suspects, BAD);
    suspects.recordServed(List.of(BAD), nowMillis);
    crash(suspects, BAD);
    crash(suspects, BAD);
    assertThat(isBlocked(suspects, BAD)).isFalse();
  }

  @Test
  void crashesUnderABlockedPartDoNotCountAgainstOthers() {
    warmUp();
    for (int i = 0; i < 4; i++) {
      String process = "p" + ++processes;
      nowMillis += 200;
      lose(suspects, process, nowMillis - 100, COMMON, BAD);
      lose(suspects, process, nowMillis - 100, COMMON, i == 0 ? "other" : "bystander");
      suspects.recordCrash(process, nowMillis);
    }
    assertThat(isBlocked(suspects, BAD)).isTrue();
    assertThat(isBlocked(suspects, COMMON, "bystander")).isFalse();
  }

  @Test
  void anEntryThatHasJustStartedBlocksThePartThatExplainsTheCrashesByFewestRequests() {
    for (int i = 0; i < 8; i++) {
      String process = "p" + ++processes;
      nowMillis += 400;
      lose(suspects, process, nowMillis - 100, COMMON, BAD);
      lose(suspects, process, nowMillis - 100, COMMON, "a" + i);
      lose(suspects, process, nowMillis - 100, COMMON, "b" + i);
      suspects.recordCrash(process, nowMillis);
    }
    assertThat(isBlocked(suspects, BAD)).isTrue();
    assertThat(isBlocked(suspects, COMMON, "a1")).isFalse();
  }

  @Test
  void twoPartsThatCrashUpstreamsAreBothBlocked() {
    warmUp();
    for (int i = 0; i < 3; i++) {
      crash(suspects, COMMON, "bad1");
      crash(suspects, COMMON, "bad2");
    }
    assertThat(isBlocked(suspects, "bad1")).isTrue();
    assertThat(isBlocked(suspects, "bad2")).isTrue();
    assertThat(isBlocked(suspects, COMMON)).isFalse();
  }

  @Test
  void crashesAtSeveralEntriesAddUp() {
    CrashSuspects other = CrashSuspects.empty();
    warmUp();
    other.recordServed(List.of(COMMON), 0);
    crash(suspects, BAD);
    exchange(suspects, other);
    crash(other, BAD);
    crash(other, BAD);
    exchange(suspects, other);
    assertThat(isBlocked(suspects, BAD)).isTrue();
    assertThat(isBlocked(other, BAD)).isTrue();
  }

  @Test
  void anAnswerAtAnotherEntryClearsAPart() {
    CrashSuspects other = CrashSuspects.empty();
    blockTheBadPart();
    exchange(suspects, other);
    other.recordServed(List.of(BAD), nowMillis);
    exchange(suspects, other);
    assertThat(isBlocked(suspects, BAD)).isFalse();
  }

  @Test
  void aPartThatOnlyAnotherEntryHasServedBeforeNeedsMoreCrashes() {
    CrashSuspects other = CrashSuspects.empty();
    warmUp();
    other.recordServed(List.of(BAD), nowMillis);
    crash(suspects, BAD);
    exchange(suspects, other);
    exchange(suspects, other);
    crash(suspects, BAD);
    crash(suspects, BAD);
    assertThat(isBlocked(suspects, BAD)).isFalse();
  }

  @Test
  void refusalsKeepABlockAfterThoseThatReportedItAreGone() {
    CrashSuspects other = CrashSuspects.empty();
    warmUp();
    crash(suspects, BAD);
    crash(suspects, BAD);
    crash(suspects, BAD);
    other.recordServed(List.of(COMMON), 0);
    exchange(suspects, other);
    assertThat(isBlocked(other, BAD)).isTrue();
    other.recordRefusal(BAD, nowMillis);
    other.updatePeer("first", Map.of(), nowMillis);
    nowMillis += 120_000;
    assertThat(isBlocked(other, BAD)).isTrue();
  }

  @Test
  void aBlockEndsAQuarterOfAnHourAfterTheLastRequest() {
    blockTheBadPart();
    nowMillis += 901_000;
    assertThat(isBlocked(suspects, BAD)).isFalse();
  }

  @Test
  void oneRequestTriesABlockedPartAndItsCrashSettlesTheBlock() {
    blockTheBadPart();
    nowMillis += 10_100;
    Object trial = new Object();
    assertThat(suspects.blockedPart(List.of(BAD), trial, (part, round) -> true, nowMillis))
        .isEmpty();
    assertThat(suspects.blockedPart(List.of(BAD), trial, NEVER, nowMillis)).isEmpty();
    assertThat(suspects.blockedPart(List.of(BAD), new Object(), (part, round) -> true, nowMillis))
        .contains(BAD);
    crash(suspects, BAD);
    nowMillis += 60_000;
    assertThat(suspects.isSettled(BAD)).isFalse();
    assertThat(suspects.blockedPart(List.of(BAD), new Object(), (part, round) -> true, nowMillis))
        .contains(BAD);
    assertThat(suspects.isSettled(BAD)).isTrue();
  }

  @Test
  void aCrashUnderARequestThatWasSentBeforeTheBlockIsNoFailedTrial() {
    blockTheBadPart();
    nowMillis += 4_000;
    lose(suspects, "straggler", nowMillis - 4_100, BAD);
    suspects.recordCrash("straggler", nowMillis);
    assertThat(isBlocked(suspects, BAD)).isTrue();
    assertThat(suspects.isSettled(BAD)).isFalse();
    nowMillis += 10_100;
    assertThat(suspects.blockedPart(List.of(BAD), new Object(), (part, round) -> true, nowMillis))
        .isEmpty();
  }

  @Test
  void aTrialThatLostItsUpstreamIsNotSentOnToAnother() {
    blockTheBadPart();
    nowMillis += 10_100;
    Object trial = new Object();
    assertThat(suspects.blockedPart(List.of(BAD), trial, (part, round) -> true, nowMillis))
        .isEmpty();
    lose(suspects, "p-trial", nowMillis, BAD);
    assertThat(suspects.blockedPart(List.of(BAD), trial, (part, round) -> true, nowMillis))
        .contains(BAD);
  }

  @Test
  void theAnswerOfATrialLiftsTheBlock() {
    blockTheBadPart();
    suspects.recordServed(List.of(BAD), nowMillis);
    assertThat(isBlocked(suspects, BAD)).isFalse();
    assertThat(suspects.takeChanges(nowMillis))
        .extracting(PartBlock::blocked)
        .containsExactly(true, false);
  }

  @Test
  void promptsOfThousandsOfPartsLeaveBoundedMemoryAndReports() {
    warmUp();
    for (int i = 0; i < 300; i++) {
      int number = i;
      List<String> parts =
          java.util.stream.IntStream.range(0, 4_000).mapToObj(p -> number + "-" + p).toList();
      suspects.recordLoss(parts, "p" + i, "r" + i, nowMillis, nowMillis);
      suspects.recordCrash("p" + i, nowMillis);
      suspects.recordServed(parts.subList(0, 2_000), nowMillis);
    }
    assertThat(suspects.reports(nowMillis)).hasSizeLessThanOrEqualTo(24);
  }

  /** A workspace names a part of another one in its own requests, which crash by themselves. */
  @Test
  void aPartThatIsAnsweredElsewhereIsNotBlockedByCrashingRequestsThatNameIt() {
    warmUp();
    for (int i = 0; i < 20; i++) {
      crash(suspects, "part of another", "own-" + i);
      if (i % 3 == 2) {
        suspects.recordServed(List.of("part of another"), nowMillis);
      }
      assertThat(isBlocked(suspects, "part of another")).isFalse();
    }
  }
}
