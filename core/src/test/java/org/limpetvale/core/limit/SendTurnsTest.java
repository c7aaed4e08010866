package org.limpetvale.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class SendTurnsTest {
  private static final long START_MILLIS = 1_796_000_000_000L;
  private static final long WINDOW_MILLIS = 4_000;

  private static List<String> entries(int count) {
    return IntStream.range(0, count).mapToObj(i -> "edge-" + i + ".boot").toList();
  }

  /** Sends greedily from all entries, each as soon as it may and has a request. */
  private static List<Long> sends(
      SendTurns turns, List<String> entries, double demandShare, long millis, long seed) {
    Random random = new Random(seed);
    List<OwnTurns> own = entries.stream().map(each -> OwnTurns.of(turns, each, entries)).toList();
    Map<Integer, List<Long>> sentByEntry = new HashMap<>();
    List<Long> all = new ArrayList<>();
    for (long now = START_MILLIS; now < START_MILLIS + millis; now++) {
      double turnStart = now - turns.elapsedMillis(now);
      for (int i = 0; i < own.size(); i++) {
        List<Long> sent = sentByEntry.computeIfAbsent(i, key -> new ArrayList<>());
        long inTurn = sent.stream().filter(at -> at >= turnStart).count();
        if (random.nextDouble() < demandShare && own.get(i).allowedSoFar(now) > inTurn) {
          sent.addLast(now);
          all.addLast(now);
        }
      }
    }
    return all;
  }

  private static int mostInWindow(List<Long> sends) {
    int most = 0;
    int first = 0;
    for (int last = 0; last < sends.size(); last++) {
      while (sends.get(first) <= sends.get(last) - WINDOW_MILLIS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** Entries that were idle and have requests all at once are the worst case. */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.3, 1.1, 2.1, 7.5, 40})
  void noWindowExceedsTheLimitHoweverManyEntriesSend(double requestsPerSecond) {
    SendTurns turns = new SendTurns("i-1", requestsPerSecond);
    double allowed = 1.5 * requestsPerSecond * WINDOW_MILLIS / 1_000 + 5;
    for (int count : new int[] {1, 5, 33}) {
      for (double demandShare : new double[] {1, 0.05, 0.002}) {
        List<Long> sends = sends(turns, entries(count), demandShare, 30_000, count);
        assertThat(mostInWindow(sends))
            .as("%d entries, demand %s", count, demandShare)
            .isLessThanOrEqualTo((int) allowed);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.3, 1.1, 2.1, 40})
  void entriesThatAlwaysHaveRequestsUseTheWholeLimit(double requestsPerSecond) {
    SendTurns turns = new SendTurns("i-1", requestsPerSecond);
    List<Long> sends = sends(turns, entries(7), 1, 60_000, 1);
    assertThat(sends.size() / 60.0)
        .isCloseTo(requestsPerSecond, Percentage.withPercentage(100 / (60 * requestsPerSecond)));
  }

  @Test
  void turnsAreSharedEvenlyAndDifferentlyAtEachUpstream() {
    List<String> entries = entries(10);
    Map<String, Integer> turnsByEntry = new HashMap<>();
    int differs = 0;
    for (long turn = 0; turn < 10_000; turn++) {
      String owner = new SendTurns("i-1", 2).owner(turn, entries).orElseThrow();
      turnsByEntry.merge(owner, 1, Integer::sum);
      differs += new SendTurns("i-2", 2).owner(turn, entries).orElseThrow().equals(owner) ? 0 : 1;
    }
    assertThat(turnsByEntry)
        .hasSize(10)
        .values()
        .allSatisfy(t -> assertThat(t).isBetween(850, 1150));
    assertThat(differs).isGreaterThan(8_500);
  }

  @Test
  void anEntryThatMissesMembersOverlapsByTheirTurnsOnly() {
    SendTurns turns = new SendTurns("i-1", 2);
    List<String> all = entries(10);
    List<String> some = all.subList(0, 9);
    for (long turn = 0; turn < 1_000; turn++) {
      String owner = turns.owner(turn, all).orElseThrow();
      String assumed = turns.owner(turn, some).orElseThrow();
      assertThat(assumed.equals(owner) || owner.equals(all.getLast())).isTrue();
    }
  }

  @Test
  void withoutKnownMembersNobodyHasATurn() {
    assertThat(new SendTurns("i-1", 2).owner(5, List.of())).isEmpty();
    OwnTurns own = OwnTurns.of(new SendTurns("i-1", 2), "edge-0.boot", List.of());
    assertThat(own.allowedUntil(START_MILLIS, START_MILLIS + 30_000, 0)).isZero();
  }

  @Test
  void theForecastEqualsWhatAnEntryMaySendLater() {
    SendTurns turns = new SendTurns("i-1", 2.1);
    List<String> entries = entries(4);
    OwnTurns own = OwnTurns.of(turns, entries.getFirst(), entries);
    long untilMillis = START_MILLIS + 12_000;
    int forecast = own.allowedUntil(START_MILLIS, untilMillis, 0);
    int allowed = 0;
    for (long turn = turns.turnAt(START_MILLIS); turn <= turns.turnAt(untilMillis); turn++) {
      long endMillis = (long) Math.ceil((turn + 1) * turns.turnMillis()) - 1;
      allowed += own.allowedSoFar(endMillis);
    }
    assertThat(forecast).isPositive().isEqualTo(allowed);
  }

  @Test
  void ratesAreBounded() {
    assertThat(new SendTurns("i-1", 0).turnMillis()).isEqualTo(10_000);
    assertThat(new SendTurns("i-1", 1e300).requestsPerSecond()).isEqualTo(10_000);
  }
}
