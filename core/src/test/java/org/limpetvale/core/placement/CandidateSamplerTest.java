package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.Upstream;

final class CandidateSamplerTest {
  private static final int ENTRIES = 28;
  private static final int REQUESTS = 60;

  private static List<Upstream> engines(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> new Upstream("u" + i, "s", "10.0.0.1", 80, "z", 64, false, 1))
        .toList();
  }

  @Test
  void fewEntriesOrFewEnginesAreNotSampled() {
    Random random = new Random(1);
    assertThat(CandidateSampler.sample(engines(36), 5, each -> false, random::nextDouble))
        .hasSize(36);
    assertThat(CandidateSampler.sample(engines(5), 100, each -> false, random::nextDouble))
        .hasSize(5);
  }

  @Test
  void enginesWithTheCachedPrefixAreAlwaysIncluded() {
    Random random = new Random(1);
    for (int i = 0; i < 50; i++) {
      assertThat(
              CandidateSampler.sample(
                  engines(36), 1_000, each -> each.id().equals("u7"), random::nextDouble))
          .anyMatch(each -> each.id().equals("u7"));
    }
  }

  /**
   * Between two load reports, all entries rate the engines alike; the best one must not get every
   * request.
   */
  @Test
  void entriesWithEqualRatingsDoNotAllChooseTheSameEngine() {
    Random random = new Random(1);
    Map<String, Integer> sent = new HashMap<>();
    for (int request = 0; request < REQUESTS; request++) {
      List<Upstream> sample =
          CandidateSampler.sample(engines(36), ENTRIES, each -> false, random::nextDouble);
      sent.merge(sample.getFirst().id(), 1, Integer::sum);
    }
    assertThat(sent.values()).allMatch(count -> count < REQUESTS * 0.65);
    assertThat(sent).hasSizeGreaterThan(3);
  }
}
