package org.limpetvale.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RouterTest {
  private static final RoutingPolicy PREDICTED = RoutingPolicy.Predicted.standard();

  private static Candidate candidate(String vm, int running, int queued, double rate) {
    return new Candidate(vm, "z1", running, queued, 0, 4, 1000, rate, 50, true);
  }

  private static String first(List<Candidate> candidates, RoutingPolicy policy) {
    return Router.order(candidates, new RoutingRequest("z1", 0, 1), policy)
        .getFirst()
        .candidate()
        .vm();
  }

  @Nested
  class PredictedTest {
    @Test
    void theShorterQueueIsPreferred() {
      assertThat(first(List.of(candidate("a", 4, 6, 40), candidate("b", 4, 1, 40)), PREDICTED))
          .isEqualTo("b");
    }

    @Test
    void aStragglerIsDetectedByItsRateAndAvoided() {
      List<Candidate> candidates =
          List.of(candidate("a", 0, 0, 8), candidate("b", 2, 0, 40), candidate("c", 3, 0, 41));
      assertThat(first(candidates, PREDICTED)).isEqualTo("b");
    }

    @Test
    void anUnavailableUpstreamIsNotChosen() {
      Candidate down = new Candidate("a", "z1", 0, 0, 0, 4, 1000, 40, 50, false);
      assertThat(first(List.of(down, candidate("b", 4, 9, 40)), PREDICTED)).isEqualTo("b");
    }

    @Test
    void requestsWithTheSamePrefixGoToTheSameIdleUpstream() {
      List<Candidate> candidates =
          List.of(candidate("a", 0, 0, 40), candidate("b", 0, 0, 40), candidate("c", 0, 0, 40));
      List<String> chosen =
          List.of(1L, 2L, 3L, 4L).stream()
              .map(turn -> new RoutingRequest("z1", 99, turn))
              .map(shape -> Router.order(candidates, shape, PREDICTED))
              .map(ordered -> ordered.getFirst().candidate().vm())
              .distinct()
              .toList();
      assertThat(chosen).hasSize(1);
    }

    @Test
    void requestsSentSinceTheReportCount() {
      Candidate sent = new Candidate("a", "z1", 3, 0, 5, 4, 1000, 40, 50, true);
      assertThat(first(List.of(sent, candidate("b", 4, 0, 40)), PREDICTED)).isEqualTo("b");
    }
  }

  @Nested
  class SubsetSelectorTest {
    @Test
    void aSubsetIsStableAndKeepsOtherZones() {
      List<String> all = java.util.stream.IntStream.range(0, 90).mapToObj(i -> "vm" + i).toList();
      List<String> subset =
          SubsetSelector.select(all, "e1", "z0", 12, vm -> vm, vm -> "z" + vm.hashCode() % 3);
      assertThat(subset).hasSize(12).doesNotHaveDuplicates();
      assertThat(subset)
          .isEqualTo(
              SubsetSelector.select(all, "e1", "z0", 12, vm -> vm, vm -> "z" + vm.hashCode() % 3));
      assertThat(subset).anyMatch(vm -> vm.hashCode() % 3 != 0);
    }
  }

  @Nested
  class RetryBudgetTest {
    @Test
    void successesRefillASpentBudget() {
      RetryBudget budget = RetryBudget.full();
      while (budget.allows()) {
        budget = budget.afterRetry();
      }
      for (int i = 0; i < 11; i++) {
        budget = budget.afterSuccess();
      }
      assertThat(budget.allows()).isTrue();
    }
  }
}
