package org.limpetvale.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ColdStartTest {
  private static final long START_MILLIS = 1_796_000_000_000L;
  private static final long SECOND_MILLIS = 1_000;
  private static final long TEST_MILLIS = 12_000;

  /** An entry that sends whenever it may and has a request. */
  private static final class Entry {
    private final OwnTurns own;
    private final long skewMillis;
    private final double demandShare;
    private double sentTurnStart = Double.NEGATIVE_INFINITY;

    Entry(OwnTurns own, long skewMillis, double demandShare) {
      this.own = own;
      this.skewMillis = skewMillis;
      this.demandShare = demandShare;
    }

    boolean sends(long nowMillis, Random random) {
      long now = nowMillis + skewMillis;
      double turnStart = now - own.turns().elapsedMillis(now);
      int sent = Math.abs(sentTurnStart - turnStart) < 0.01 ? 1 : 0;
      if (random.nextDouble() >= demandShare || own.allowedSoFar(now) <= sent) {
        return false;
      }
      sentTurnStart = turnStart;
      return true;
    }
  }

  private static int mostInASecond(List<Entry> entries, Random random) {
    List<Long> sends = new ArrayList<>();
    int most = 0;
    int first = 0;
    for (long now = START_MILLIS; now < START_MILLIS + TEST_MILLIS; now++) {
      for (Entry entry : entries) {
        if (entry.sends(now, random)) {
          sends.add(now);
        }
      }
      while (first < sends.size() && sends.get(first) <= now - SECOND_MILLIS) {
        first++;
      }
      most = Math.max(most, sends.size() - first);
    }
    return most;
  }

  /**
   * Members, load and clocks are drawn anew for each seed. In half of the cases, only some entries
   * know one that has just come, or still count one that has left.
   */
  @ParameterizedTest
  @ValueSource(doubles = {1, 2.5, 10, 30, 150})
  void noSecondExceedsTheBoundHoweverManyEntriesSend(double requestsPerSecond) {
    for (long seed = 1; seed <= 12; seed++) {
      Random random = new Random(seed);
      ColdStart.Bounds bounds =
          new ColdStart.Bounds(1 + random.nextDouble(), 3 + random.nextInt(5));
      double bound = requestsPerSecond * bounds.overshoot() + bounds.allowance();
      SendTurns turns =
          SendTurns.ofSingleRequests(
              "i-" + seed, new ColdStart(3_000, requestsPerSecond).sendRate(bounds));
      List<String> all =
          IntStream.range(0, 4 + random.nextInt(27)).mapToObj(i -> "edge-" + i).toList();
      List<String> lessOne = all.subList(0, all.size() - 1);
      boolean agreed = random.nextBoolean();
      List<Entry> entries =
          all.stream()
              .map(
                  each -> {
                    boolean knowsAll = agreed || random.nextBoolean();
                    return new Entry(
                        OwnTurns.of(turns, each, knowsAll ? all : lessOne),
                        random.nextInt(4),
                        random.nextBoolean() ? 1 : 0.02);
                  })
              .toList();
      assertThat(mostInASecond(entries, random))
          .as("seed %d, %d entries, agreed %b", seed, all.size(), agreed)
          .isLessThanOrEqualTo((int) bound);
    }
  }

  @Test
  void theRateIsTheUpstreamsOwnWhereTheBoundLeavesRoom() {
    assertThat(new ColdStart(3_000, 10).sendRate(new ColdStart.Bounds(1.5, 5))).isEqualTo(10);
    assertThat(new ColdStart(3_000, 10).sendRate(ColdStart.Bounds.STRICT)).isEqualTo(5.5);
  }

  /** A fleet that started before its traffic states 0 although its processes are young. */
  @Test
  void aProcessThatSaysNothingIsColdForAsLongAsItsStartIsRecent() {
    ColdStart coldStart = new ColdStart(3_000, 10);
    assertThat(coldStart.remainingMillis(-1, START_MILLIS, START_MILLIS + 1_000)).isEqualTo(2_000);
    assertThat(coldStart.remainingMillis(0, START_MILLIS, START_MILLIS + 1_000)).isZero();
    assertThat(coldStart.remainingMillis(900, START_MILLIS, START_MILLIS + 9_000)).isEqualTo(900);
    assertThat(coldStart.remainingMillis(-1, 0, START_MILLIS)).isZero();
  }
}
