package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.Upstream;

final class EnginePlacementTest {
  private static final EnginePools NO_POOLS = new EnginePools(Set.of());
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

  private static String chosen(Route route, PromptShape shape, UpstreamLoad... loads) {
    return EnginePlacement.choose(route, shape, "z", NO_POOLS, false, List.of(loads))
        .orElseThrow()
        .upstream()
        .id();
  }

  @Test
  void aChoiceTellsWhichEngineWithMoreOfThePromptItPassedOver() {
    List<Upstream> engines = upstreams(2);
    List<UpstreamLoad> loads =
        List.of(load(engines.get(0), 0, 0, 0), load(engines.get(1), 90_000, 0, 600));
    PromptShape shape = prompt(600, 400);
    assertThat(
            EnginePlacement.choose(LOOSE, shape, "z", NO_POOLS, true, loads)
                .orElseThrow()
                .passedOver())
        .hasValueSatisfying(each -> assertThat(each.upstream().id()).isEqualTo("u1"));
    assertThat(
            EnginePlacement.choose(LOOSE, shape, "z", NO_POOLS, true, loads.subList(1, 2))
                .orElseThrow()
                .passedOver())
        .isEmpty();
  }

  @Test
  void aGapTargetThatAFewWholeChunksWouldBreakIsShort() {
    assertThat(EnginePlacement.isTight(stream("s", 300, 150))).isTrue();
    assertThat(EnginePlacement.isTight(stream("s", 300, 200))).isTrue();
    assertThat(EnginePlacement.isTight(stream("s", 500, 250))).isFalse();
    assertThat(EnginePlacement.isTight(stream("s", 500, 0))).isFalse();
  }

  @Test
  void withoutCandidatesThereIsNoChoice() {
    assertThat(EnginePlacement.choose(LOOSE, prompt(10, 10), "z", NO_POOLS, true, List.of()))
        .isEmpty();
  }

  @Test
  void aCachedPrefixIsWorthAShortQueueAndNotALongOne() {
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
    assertThat(EnginePlacement.choose(LOOSE, shape, "z", NO_POOLS, true, loads))
        .hasValueSatisfying(choice -> assertThat(choice.upstream()).isEqualTo(cached));
    assertThat(EnginePlacement.choose(LOOSE, shape, "z", NO_POOLS, false, loads))
        .hasValueSatisfying(choice -> assertThat(choice.upstream()).isEqualTo(empty));
  }

  @Test
  void longPromptsKeepAwayFromStreamsWithShortGapTargets() {
    assertThat(
            chosen(
                LOOSE,
                prompt(6_000, 3_000),
                load(upstream("streams", "z"), 0, 20, 0),
                load(upstream("busy", "z"), 20_000, 0, 0)))
        .isEqualTo("busy");
  }

  @Test
  void streamsWithShortGapTargetsKeepAwayFromLongPrompts() {
    assertThat(
            chosen(
                TIGHT,
                prompt(100, 500),
                load(upstream("reading", "z"), 6_000, 0, 0),
                load(upstream("quiet", "other"), 0, 30, 0)))
        .isEqualTo("quiet");
  }

  @Test
  void aSilentUpstreamIsTheLastResort() {
    Upstream silent = upstream("silent", "z");
    UpstreamLoad dead = new UpstreamLoad(silent, 1, 0, 0, 0, 0, 0, 0, 1, 0, true);
    assertThat(chosen(LOOSE, prompt(10, 500), dead, load(upstream("busy", "z"), 60_000, 0, 0)))
        .isEqualTo("busy");
    assertThat(chosen(LOOSE, prompt(10, 500), dead)).isEqualTo("silent");
  }

  @Test
  void allEntriesAgreeOnTheSplitAndSmallFleetsAreNotSplit() {
    List<Upstream> engines = upstreams(8);
    List<Upstream> shuffled = new ArrayList<>(engines.reversed());
    assertThat(EnginePools.split(engines, 40)).isEqualTo(EnginePools.split(shuffled, 40));
    assertThat(EnginePools.split(engines, 40).tight()).hasSize(2);
    assertThat(EnginePools.split(engines, 500).tight()).hasSize(3);
    assertThat(EnginePools.split(upstreams(3), 40).tight()).isEmpty();
  }

  @Test
  void aPromptOfMediumLengthStaysAwayFromShortGapStreamsUntilTheOtherEnginesAreFull() {
    List<Upstream> engines = upstreams(2);
    EnginePools pools = new EnginePools(Set.of("u0"));
    assertThat(
            mediumGoesTo(pools, load(engines.get(0), 0, 20, 0), load(engines.get(1), 8_000, 0, 0)))
        .isEqualTo("u1");
    assertThat(
            mediumGoesTo(pools, load(engines.get(0), 0, 20, 0), load(engines.get(1), 20_000, 0, 0)))
        .isEqualTo("u0");
  }

  private static String mediumGoesTo(EnginePools pools, UpstreamLoad... loads) {
    return EnginePlacement.choose(LOOSE, prompt(0, 1_800), "z", pools, true, List.of(loads))
        .orElseThrow()
        .upstream()
        .id();
  }

  @Test
  void aLargerSplitHoldsTheSmallerOne() {
    List<Upstream> engines = upstreams(13);
    assertThat(EnginePools.split(engines, 100).tight())
        .containsAll(EnginePools.split(engines, 40).tight());
  }

  @Test
  void keysSpreadOverUpstreamsAndStayWhenOneLeaves() {
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

  private static String first(String key, List<Upstream> upstreams) {
    return Rendezvous.order(key, upstreams).getFirst().id();
  }

  /**
   * In a burst of long prompts all engines have a queue; reading prefixes again makes it longer.
   */
  @Test
  void aPatientRequestQueuesHalfASecondRatherThanHaveItsPrefixReadAgain() {
    Upstream cached = upstream("cached", "z");
    Upstream empty = upstream("empty", "z");
    PromptShape shape = prompt(6_000, 1_000);
    List<UpstreamLoad> loads = List.of(load(cached, 20_000, 0, 6_000), load(empty, 0, 0, 0));
    assertThat(EnginePlacement.choose(LOOSE, shape, "z", NO_POOLS, true, loads))
        .hasValueSatisfying(choice -> assertThat(choice.upstream().id()).isEqualTo("cached"));
  }

  @Test
  void aPrefixThatLiesElsewhereIsNotAssumedWhereItIsPreferred() {
    PrefixBook book = PrefixBook.empty();
    Upstream preferred = upstream("preferred", "z");
    Upstream other = upstream("other", "z");
    PromptShape shape = prompt(600, 100);
    assertThat(book.expectedTokens(preferred, shape, 0, 0)).isPositive();
    book.noteRead(other, "s", 0);
    assertThat(book.expectedTokens(preferred, shape, 0, 1_000)).isZero();
    assertThat(book.expectedTokens(other, shape, 1, 1_000)).isEqualTo(600);
  }

  @Test
  void prefixesAreExpectedWhereTheyWereSentUntilTheyAreOld() {
    PrefixBook book = PrefixBook.empty();
    Upstream upstream = upstream("u", "z");
    PromptShape shape = prompt(600, 100);
    assertThat(book.expectedTokens(upstream, shape, 9, 0)).isZero();
    book.note(upstream, shape, 1_000);
    assertThat(book.expectedTokens(upstream, shape, 9, 2_000)).isEqualTo(700);
    assertThat(book.expectedTokens(upstream, shape, 9, 60_000)).isZero();
    assertThat(book.expectedTokens(upstream, shape, 0, 60_000)).isBetween(1, 600);
  }
}
