package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.Upstream;

/** What a kept prompt saves, weighed against the wait for it. */
final class PromptMemoryTest {
  private static final EnginePools NO_POOLS = new EnginePools(Set.of(), 0);
  private static final EngineModel MODEL = new EngineModel(40, 10, 0);
  private static final Route ROUTE =
      new Route(
          "review",
          "h",
          "/",
          Route.Kind.STREAMING,
          6_000,
          1_500,
          800,
          1,
          List.of(new Route.Split("s", 1)),
          1,
          false,
          false);

  private static Upstream engine(int number) {
    return new Upstream("u" + number, "s", "10.0.0.1", 80, "z", 64, false, 1);
  }

  private static PromptShape prompt(String prefix, int shared, int own) {
    return new PromptShape(
        shared + own,
        50,
        List.of(new PromptShape.Part(prefix, shared), new PromptShape.Part("own", own)));
  }

  private static int expected(PrefixCacheIndex index, Upstream engine, double chance) {
    return index.expectedCachedTokens(engine, prompt("p", 6_000, 1_000), 9, read -> chance);
  }

  private static UpstreamLoad load(
      Upstream engine, int pendingTokens, int cachedTokens, double speed) {
    return new UpstreamLoad(engine, 0, 0, pendingTokens, 0, 0, cachedTokens, 9, speed, 0, false);
  }

  private static String chosen(UpstreamLoad... loads) {
    PlacementRequest request =
        new PlacementRequest(ROUTE, prompt("p", 6_000, 1_000), "z", false, true);
    return EnginePlacement.choose(request, MODEL, NO_POOLS, List.of(loads), () -> 0)
        .orElseThrow()
        .upstream()
        .id();
  }

  /** The same queue is worth the wait for a copy that is surely there, not for a doubtful one. */
  @Test
  void theWaitForACopyIsWeighedByTheChanceThatItIsStillThere() {
    PrefixCacheIndex index = PrefixCacheIndex.empty();
    index.recordPart(engine(1), "p", 0);
    UpstreamLoad sure = load(engine(1), 12_000, expected(index, engine(1), 1), 1);
    UpstreamLoad doubtful = load(engine(1), 12_000, expected(index, engine(1), 0.2), 1);
    UpstreamLoad empty = load(engine(2), 0, expected(index, engine(2), 1), 1);
    assertThat(chosen(sure, empty)).isEqualTo("u1");
    assertThat(chosen(doubtful, empty)).isEqualTo("u2");
  }

  @Test
  void aHotPrefixGetsASecondCopyOnceTheQueueForTheFirstIsLongerThanReadingItAgain() {
    assertThat(chosen(load(engine(1), 12_000, 6_000, 1), load(engine(2), 0, 0, 1))).isEqualTo("u1");
    assertThat(chosen(load(engine(1), 60_000, 6_000, 1), load(engine(2), 0, 0, 1))).isEqualTo("u2");
  }

  @Test
  void aFastEmptyEngineIsChosenOverAVerySlowOneThatHoldsTheCopy() {
    assertThat(chosen(load(engine(1), 0, 6_000, 0.1), load(engine(2), 0, 0, 1))).isEqualTo("u2");
    assertThat(chosen(load(engine(1), 0, 6_000, 0.8), load(engine(2), 0, 0, 1))).isEqualTo("u1");
  }

  @Test
  void theChanceOfACopyNeverRisesWithWhatWasWrittenSince() {
    CopyRetention retention = CopyRetention.empty();
    Random random = new Random(7);
    for (int i = 0; i < 2_000; i++) {
      retention.recordAnswer(3 * random.nextDouble(), random.nextBoolean());
    }
    List<Double> chances =
        IntStream.range(0, 40).mapToObj(i -> retention.chance(i / 10.0)).toList();
    assertThat(chances).isSortedAccordingTo((a, b) -> Double.compare(b, a));
    assertThat(chances).allMatch(each -> each > 0 && each <= 1);
  }

  /** More prefixes than memory: engines that keep the least recently used parts no longer. */
  @Test
  void howLongAnEngineKeepsPrefixesIsLearnedFromAnswers() {
    double keptTurnovers = 0.5;
    CopyRetention retention = CopyRetention.empty();
    assertThat(retention.chance(0.85)).isGreaterThan(0.3);
    Random random = new Random(1);
    for (int i = 0; i < 400; i++) {
      double turnovers = 1.5 * random.nextDouble();
      retention.recordAnswer(turnovers, turnovers < keptTurnovers);
    }
    assertThat(retention.chance(0.3)).isGreaterThan(0.85);
    assertThat(retention.chance(0.85)).isLessThan(0.2);
  }

  @Test
  void wrongKnowledgeOfAnEngineIsUnlearnedWhenItKeepsPrefixesAgain() {
    CopyRetention retention = CopyRetention.empty();
    for (int i = 0; i < 200; i++) {
      retention.recordAnswer(0.15, false);
    }
    assertThat(retention.chance(0.15)).isLessThan(0.2);
    for (int i = 0; i < 200; i++) {
      retention.recordAnswer(0.15, true);
    }
    assertThat(retention.chance(0.15)).isGreaterThan(0.9);
  }

  @Test
  void whatAnEngineHasWrittenCountsTheRequestsOfAllEntries() {
    WrittenTokens written = WrittenTokens.empty();
    for (int millis = 0; millis < 20_000; millis += 100) {
      written.requestSent(2_000, 0.5, millis);
    }
    assertThat(written.since(10_000)).isBetween(95_000.0, 105_000.0);
    assertThat(written.since(20_000)).isBetween(0.0, 3_000.0);
  }

  @Test
  void theCopiesOfALostEngineAreNotExpectedOfItsSuccessor() {
    PrefixCacheIndex index = PrefixCacheIndex.empty();
    PromptShape shape = prompt("p", 6_000, 1_000);
    index.recordPrompt(engine(1), shape, 0);
    Upstream restarted = new Upstream("u1", "s", "10.0.0.1", 80, "z", 64, false, 2);
    assertThat(index.expectedCachedTokens(engine(1), shape, 9, read -> 0.5)).isEqualTo(3_500);
    assertThat(index.expectedCachedTokens(restarted, shape, 9, read -> 0.5)).isZero();
    assertThat(index.lastReadMillis(restarted, shape)).isEmpty();
  }

  /**
   * Replays requests for more prefixes than the engines' memory holds: what is expected to be held
   * is compared with engines that drop the least recently used prefix.
   */
  @Test
  void withMorePrefixesThanMemoryTheExpectationFollowsWhatEnginesHold() {
    int prefixTokens = 5_000;
    int memoryTokens = 50_000;
    Map<Integer, Boolean> held =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
            return size() > memoryTokens / prefixTokens;
          }
        };
    WrittenTokens written = WrittenTokens.empty();
    CopyRetention retention = CopyRetention.empty();
    Map<Integer, Long> lastReads = new HashMap<>();
    Random random = new Random(3);
    List<Double> errors = new ArrayList<>();
    for (int i = 0; i < 3_000; i++) {
      long nowMillis = 250L * i;
      int prefix = (int) (20 * random.nextDouble());
      boolean isHeld = held.containsKey(prefix);
      if (lastReads.containsKey(prefix)) {
        double turnovers = written.since(lastReads.get(prefix)) / memoryTokens;
        errors.add((isHeld ? 1 : 0) - retention.chance(turnovers));
        retention.recordAnswer(turnovers, isHeld);
      }
      written.requestSent(isHeld ? 0 : prefixTokens, 1, nowMillis);
      held.put(prefix, true);
      lastReads.put(prefix, nowMillis);
    }
    List<Double> late = errors.subList(errors.size() / 2, errors.size());
    double bias = late.stream().mapToDouble(each -> each).average().orElseThrow();
    assertThat(bias).isBetween(-0.1, 0.1);
  }
}
