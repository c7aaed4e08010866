package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.Upstream;

final class EnginePlacementTest {
  private static final EnginePools NO_POOLS = new EnginePools(Set.of(), 150);

  /** Engines whose pauses of 220 ms exceed a gap target of 150 ms. */
  private static final EngineModel MODEL = new EngineModel(40, 20, 220);

  private static final Route TIGHT = stream("tight", 300, 150);
  private static final Route LOOSE = stream("loose", 1500, 600);

  private static Route stream(String name, long targetMillis, long gapMillis) {
    return new Route(
        name,
        "h",
        "/",
        Route.Kind.STREAMING,
        6000,
        targetMillis,
        gapMillis,
        1,
        List.of(new Route.Split("s", 1)),
        1,
        false,
        false);
  }

  private static Upstream upstream(String id, String zone) {
    return new Upstream(id, "s", "10.0.0.1", 80, zone, 64, false, 1);
  }

  private static List<Upstream> upstreams(int count) {
    return IntStream.range(0, count).mapToObj(i -> upstream("u" + i, "z")).toList();
  }

  private static UpstreamLoad load(
      Upstream upstream, int pendingTokens, int tightStreams, int cachedTokens) {
    int rank = cachedTokens > 0 ? 0 : 1;
    return new UpstreamLoad(
        upstream, 0, 0, pendingTokens, 0, tightStreams, cachedTokens, rank, 1, 0, false);
  }

  private static PromptShape prompt(int shared, int own) {
    return new PromptShape(
        shared + own,
        50,
        List.of(new PromptShape.Part("s", shared), new PromptShape.Part("o", own)));
  }

  private static Optional<Choice> choose(
      Route route,
      PromptShape shape,
      EnginePools pools,
      boolean canWait,
      List<UpstreamLoad> candidates) {
    PlacementRequest request =
        new PlacementRequest(route, shape, "z", route.equals(TIGHT), canWait);
    return EnginePlacement.choose(request, MODEL, pools, candidates, () -> 0);
  }

  private static String chosen(Route route, PromptShape shape, UpstreamLoad... loads) {
    return choose(route, shape, NO_POOLS, false, List.of(loads)).orElseThrow().upstream().id();
  }

  @Test
  void aChoiceReportsThePassedOverEngineWithMoreCachedTokens() {
    List<Upstream> engines = upstreams(2);
    List<UpstreamLoad> loads =
        List.of(load(engines.get(0), 0, 0, 0), load(engines.get(1), 90_000, 0, 600));
    PromptShape shape = prompt(600, 400);
    assertThat(choose(LOOSE, shape, NO_POOLS, true, loads).orElseThrow().passedOver())
        .hasValueSatisfying(each -> assertThat(each.upstream().id()).isEqualTo("u1"));
    assertThat(choose(LOOSE, shape, NO_POOLS, true, loads.subList(1, 2)).orElseThrow().passedOver())
        .isEmpty();
  }

  @Test
  void withoutCandidatesThereIsNoChoice() {
    assertThat(choose(LOOSE, prompt(10, 10), NO_POOLS, true, List.of())).isEmpty();
  }

  @Test
  void aCachedPrefixOutweighsAShortQueueButNotALongOne() {
    Upstream cached = upstream("cached", "z");
    Upstream empty = upstream("empty", "z");
    PromptShape shape = prompt(6_000, 1_000);
    assertThat(chosen(LOOSE, shape, load(cached, 3_000, 0, 6_000), load(empty, 0, 0, 0)))
        .isEqualTo("cached");
    assertThat(chosen(LOOSE, shape, load(cached, 30_000, 0, 6_000), load(empty, 0, 0, 0)))
        .isEqualTo("empty");
  }

  @Test
  void aRequestThatCanWaitDoesNotReadItsSharedPrefixAgainElsewhere() {
    Upstream cached = upstream("cached", "z");
    Upstream empty = upstream("empty", "z");
    PromptShape shape = prompt(6_000, 1_000);
    List<UpstreamLoad> loads = List.of(load(cached, 12_000, 0, 6_000), load(empty, 0, 0, 0));
    assertThat(choose(LOOSE, shape, NO_POOLS, true, loads))
        .hasValueSatisfying(choice -> assertThat(choice.upstream()).isEqualTo(cached));
    assertThat(choose(LOOSE, shape, NO_POOLS, false, loads))
        .hasValueSatisfying(choice -> assertThat(choice.upstream()).isEqualTo(empty));
  }

  @Test
  void longPromptsAvoidStreamsWithShortGapTargets() {
    assertThat(
            chosen(
                LOOSE,
                prompt(6_000, 3_000),
                load(upstream("streams", "z"), 0, 20, 0),
                load(upstream("busy", "z"), 20_000, 0, 0)))
        .isEqualTo("busy");
  }

  @Test
  void streamsWithShortGapTargetsAvoidLongPrompts() {
    assertThat(
            chosen(
                TIGHT,
                prompt(100, 500),
                load(upstream("reading", "z"), 6_000, 0, 0),
                load(upstream("quiet", "other"), 0, 30, 0)))
        .isEqualTo("quiet");
  }

  @Test
  void anUnresponsiveUpstreamIsTheLastResort() {
    Upstream silent = upstream("silent", "z");
    UpstreamLoad unresponsive = new UpstreamLoad(silent, 1, 0, 0, 0, 0, 0, 0, 1, 0, true);
    assertThat(
            chosen(LOOSE, prompt(10, 500), unresponsive, load(upstream("busy", "z"), 60_000, 0, 0)))
        .isEqualTo("busy");
    assertThat(chosen(LOOSE, prompt(10, 500), unresponsive)).isEqualTo("silent");
  }

  @Test
  void allEntriesAgreeOnTheSplitAndSmallFleetsAreNotSplit() {
    List<Upstream> engines = upstreams(8);
    List<Upstream> shuffled = new ArrayList<>(engines.reversed());
    assertThat(EnginePools.split(engines, 40, 150)).isEqualTo(EnginePools.split(shuffled, 40, 150));
    assertThat(EnginePools.split(engines, 40, 150).tightPoolIds()).hasSize(2);
    assertThat(EnginePools.split(engines, 500, 150).tightPoolIds()).hasSize(3);
    assertThat(EnginePools.split(upstreams(3), 40, 150).tightPoolIds()).isEmpty();
  }

  @Test
  void aMediumPromptAvoidsShortGapStreamsUntilTheOtherEnginesAreFull() {
    List<Upstream> engines = upstreams(2);
    EnginePools pools = new EnginePools(Set.of("u0"), 150);
    assertThat(
            chosenForMediumPrompt(
                pools, load(engines.get(0), 0, 20, 0), load(engines.get(1), 8_000, 0, 0)))
        .isEqualTo("u1");
    assertThat(
            chosenForMediumPrompt(
                pools, load(engines.get(0), 0, 20, 0), load(engines.get(1), 20_000, 0, 0)))
        .isEqualTo("u0");
  }

  private static String chosenForMediumPrompt(EnginePools pools, UpstreamLoad... loads) {
    return choose(LOOSE, prompt(0, 1_800), pools, true, List.of(loads))
        .orElseThrow()
        .upstream()
        .id();
  }

  /** Engines that read twice as fast work off the same queue in half the time. */
  @Test
  void enginesThatReadTwiceAsFastArePredictedToAnswerSooner() {
    Upstream cached = upstream("cached", "z");
    List<UpstreamLoad> loads = List.of(load(cached, 14_000, 0, 6_000));
    PlacementRequest request = new PlacementRequest(LOOSE, prompt(6_000, 1_000), "z", false, false);
    assertThat(predictedMillis(request, new EngineModel(40, 20, 220), loads))
        .isGreaterThan(1.8 * predictedMillis(request, new EngineModel(80, 20, 220), loads));
  }

  private static double predictedMillis(
      PlacementRequest request, EngineModel model, List<UpstreamLoad> loads) {
    return EnginePlacement.choose(request, model, NO_POOLS, loads, () -> 0)
        .orElseThrow()
        .predictedMillis();
  }

  /** Engines that read twice as fast read twice the tokens within the same pause. */
  @Test
  void theBacklogToleratedByShortGapStreamsScalesWithEngineSpeed() {
    UpstreamLoad reading = load(upstream("reading", "z"), 6_000, 0, 0);
    PlacementRequest request = new PlacementRequest(TIGHT, prompt(0, 500), "z", true, false);
    assertThat(hasMissedGapPenalty(request, new EngineModel(40, 20, 220), reading)).isTrue();
    assertThat(hasMissedGapPenalty(request, new EngineModel(80, 20, 220), reading)).isFalse();
  }

  private static boolean hasMissedGapPenalty(
      PlacementRequest request, EngineModel model, UpstreamLoad reading) {
    Choice choice =
        EnginePlacement.choose(request, model, NO_POOLS, List.of(reading), () -> 0).orElseThrow();
    return choice.costMillis() - choice.predictedMillis() > 200;
  }

  @Test
  void enginesWithHalfTheSlotsCarryHalfTheStreams() {
    List<Upstream> large = upstreams(20);
    List<Upstream> small =
        large.stream()
            .map(each -> new Upstream(each.id(), "s", "10.0.0.1", 80, "z", 32, false, 1))
            .toList();
    assertThat(EnginePools.split(large, 96, 150).tightPoolIds()).hasSize(3);
    assertThat(EnginePools.split(small, 96, 150).tightPoolIds()).hasSize(6);
  }

  @Test
  void theTightPoolTakesTheFastestEngines() {
    List<Upstream> engines = upstreams(13);
    Map<String, Double> speeds = Map.of("u4", 1.6, "u9", 1.55, "u11", 0.6);
    assertThat(EnginePools.split(engines, 40, 150, speeds).tightPoolIds())
        .containsExactlyInAnyOrder("u4", "u9");
    assertThat(EnginePools.split(engines, 1_000, 150, speeds).tightPoolIds())
        .hasSize(5)
        .contains("u4", "u9")
        .doesNotContain("u11");
  }

  @Test
  void speedsThatDifferLittleLeaveTheTightPoolAsItIs() {
    List<Upstream> engines = upstreams(13);
    Map<String, Double> speeds = Map.of("u0", 1.15, "u5", 0.9);
    assertThat(EnginePools.split(engines, 100, 150, speeds))
        .isEqualTo(EnginePools.split(engines, 100, 150));
  }

  private static UpstreamLoad loadAtSpeed(Upstream upstream, int pendingTokens, double speed) {
    return new UpstreamLoad(upstream, 0, 0, pendingTokens, 0, 0, 0, 1, speed, 0, false);
  }

  /**
   * A burst of 36 equal long prompts meets engines of three speeds, of which each entry knows the
   * prompts that it has placed.
   */
  @Test
  void aBurstOfLongPromptsIsSpreadAsTheSpeedsOfTheEnginesAllow() {
    List<Double> speeds = List.of(0.6, 1.0, 1.6);
    int[] pendingTokens = new int[3];
    for (int i = 0; i < 36; i++) {
      List<UpstreamLoad> candidates = new ArrayList<>();
      for (int engine = 0; engine < 3; engine++) {
        candidates.add(
            loadAtSpeed(upstream("u" + engine, "z"), pendingTokens[engine], speeds.get(engine)));
      }
      Choice choice = choose(LOOSE, prompt(0, 2_000), NO_POOLS, true, candidates).orElseThrow();
      pendingTokens[Integer.parseInt(choice.upstream().id().substring(1))] += 2_000;
    }
    double slowMillis = pendingTokens[0] / 0.6;
    double fastMillis = pendingTokens[2] / 1.6;
    assertThat(pendingTokens[2]).isGreaterThan(2 * pendingTokens[0]);
    assertThat(fastMillis).isBetween(0.7 * slowMillis, 1.5 * slowMillis);
  }

  /** A burst of long prompts fills the other engines up to half a second of reading. */
  @Test
  void theSpeedOfTheTightPoolDoesNotDrawLongPromptsIntoIt() {
    EnginePools pools = new EnginePools(Set.of("fast"), 150);
    UpstreamLoad fast = loadAtSpeed(upstream("fast", "z"), 0, 1.6);
    UpstreamLoad usual = loadAtSpeed(upstream("usual", "z"), 21_000, 1);
    List<UpstreamLoad> candidates = List.of(fast, usual);
    Choice choice = choose(LOOSE, prompt(0, 8_000), pools, true, candidates).orElseThrow();
    assertThat(choice.upstream().id()).isEqualTo("usual");
    Choice tight = choose(TIGHT, prompt(0, 500), pools, false, candidates).orElseThrow();
    assertThat(tight.upstream().id()).isEqualTo("fast");
  }

  /** Places a stream with a short gap target beside an idle engine outside the tight pool. */
  private static String chosenWithBacklogInTheTightPool(int pendingTokens) {
    EnginePools pools = new EnginePools(Set.of("pooled"), 150);
    UpstreamLoad pooled = load(upstream("pooled", "z"), pendingTokens, 30, 0);
    UpstreamLoad idle = load(upstream("idle", "z"), 0, 0, 0);
    return choose(TIGHT, prompt(0, 500), pools, false, List.of(pooled, idle))
        .orElseThrow()
        .upstream()
        .id();
  }

  /**
   * A burst, in which the engines that read long prompts are idle only until the next one arrives.
   */
  @Test
  void aShortGapStreamStaysInATightPoolThatHasALargeBacklog() {
    assertThat(chosenWithBacklogInTheTightPool(6_000)).isEqualTo("pooled");
  }

  @Test
  void aShortGapStreamLeavesATightPoolInWhichItWouldWaitTooLong() {
    assertThat(chosenWithBacklogInTheTightPool(20_000)).isEqualTo("idle");
  }

  @Test
  void aFasterEngineBearsALargerBacklogBesideShortGapStreams() {
    UpstreamLoad usual = loadAtSpeed(upstream("usual", "z"), 6_000, 1);
    UpstreamLoad fast = loadAtSpeed(upstream("fast", "z"), 6_000, 2);
    PlacementRequest request = new PlacementRequest(TIGHT, prompt(0, 500), "z", true, false);
    assertThat(hasMissedGapPenalty(request, MODEL, usual)).isTrue();
    assertThat(hasMissedGapPenalty(request, MODEL, fast)).isFalse();
  }

  @Test
  void aLargerTightPoolContainsTheSmallerOne() {
    List<Upstream> engines = upstreams(13);
    assertThat(EnginePools.split(engines, 100, 150).tightPoolIds())
        .containsAll(EnginePools.split(engines, 40, 150).tightPoolIds());
  }

  @Test
  void keysSpreadOverAllUpstreamsAndKeepTheirUpstreamWhenAnotherLeaves() {
    List<Upstream> all = upstreams(8);
    List<Upstream> fewer = all.subList(0, 7);
    long moved =
        IntStream.range(0, 800)
            .mapToObj(i -> "key-" + i)
            .filter(key -> !first(key, all).equals("u7"))
            .filter(key -> !first(key, all).equals(first(key, fewer)))
            .count();
    assertThat(moved).isZero();
    assertThat(
            IntStream.range(0, 800)
                .mapToObj(i -> first("key-" + i, all))
                .collect(Collectors.groupingBy(id -> id, Collectors.counting()))
                .values())
        .hasSize(8)
        .allMatch(count -> count > 60);
  }

  @Test
  void firstReturnsTheBeginningOfTheFullOrder() {
    List<Upstream> all = upstreams(39);
    for (int i = 0; i < 200; i++) {
      String key = "key-" + i;
      assertThat(RendezvousHashing.first(key, all, 2))
          .isEqualTo(RendezvousHashing.order(key, all).subList(0, 2));
    }
    assertThat(RendezvousHashing.first("key", all.subList(0, 1), 2)).hasSize(1);
    assertThat(RendezvousHashing.first("key", List.of(), 2)).isEmpty();
  }

  private static String first(String key, List<Upstream> upstreams) {
    return RendezvousHashing.order(key, upstreams).getFirst().id();
  }

  /**
   * In a burst of long prompts all engines have a queue; reading prefixes again makes the queues
   * longer.
   */
  @Test
  void aRequestThatCanWaitQueuesHalfASecondInsteadOfReadingItsPrefixAgain() {
    Upstream cached = upstream("cached", "z");
    Upstream empty = upstream("empty", "z");
    PromptShape shape = prompt(6_000, 1_000);
    List<UpstreamLoad> loads = List.of(load(cached, 20_000, 0, 6_000), load(empty, 0, 0, 0));
    assertThat(choose(LOOSE, shape, NO_POOLS, true, loads))
        .hasValueSatisfying(choice -> assertThat(choice.upstream().id()).isEqualTo("cached"));
  }

  @Test
  void aPrefixCachedElsewhereIsNotAssumedOnThePreferredEngine() {
    PrefixCacheIndex index = PrefixCacheIndex.empty();
    Upstream preferred = upstream("preferred", "z");
    Upstream other = upstream("other", "z");
    PromptShape shape = prompt(600, 100);
    assertThat(index.expectedCachedTokens(preferred, shape, 0, 0)).isPositive();
    index.recordPart(other, "s", 0);
    assertThat(index.expectedCachedTokens(preferred, shape, 0, 1_000)).isZero();
    assertThat(index.expectedCachedTokens(other, shape, 1, 1_000)).isEqualTo(600);
  }

  @Test
  void prefixesCountAsCachedWhereTheyWereSentUntilTheyExpire() {
    PrefixCacheIndex index = PrefixCacheIndex.empty();
    Upstream upstream = upstream("u", "z");
    PromptShape shape = prompt(600, 100);
    assertThat(index.expectedCachedTokens(upstream, shape, 9, 0)).isZero();
    index.recordPrompt(upstream, shape, 1_000);
    assertThat(index.expectedCachedTokens(upstream, shape, 9, 2_000)).isEqualTo(700);
    assertThat(index.expectedCachedTokens(upstream, shape, 9, 60_000)).isZero();
    assertThat(index.expectedCachedTokens(upstream, shape, 0, 60_000)).isBetween(1, 600);
  }
}
