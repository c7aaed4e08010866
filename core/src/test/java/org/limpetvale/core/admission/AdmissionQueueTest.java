package org.limpetvale.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class AdmissionQueueTest {
  private static final long LATE_DEADLINE_MILLIS = 1_000_000;

  private static QueuedRequest request(long ticket, String workspace, int tier) {
    return new QueuedRequest(
        ticket,
        workspace,
        "class-" + tier,
        tier,
        0,
        LATE_DEADLINE_MILLIS,
        100,
        1,
        0.05,
        false,
        false,
        0);
  }

  private static AdmissionQueue queue(int capacity, int limit) {
    return AdmissionQueue.of(new UpstreamLimits(capacity, limit), 100);
  }

  private static AdmissionQueue enqueue(AdmissionQueue queue, QueuedRequest request) {
    return ((OfferResult.Queued) queue.offer(request, 0)).queue();
  }

  private static AdmissionQueue dispatchNext(AdmissionQueue queue) {
    return queue.next(0).orElseThrow().queue();
  }

  @Nested
  class OfferTest {
    @Test
    void aFullQueueEvictsTheNewestRequestOfTheLowestTierForAHigherTier() {
      AdmissionQueue full = enqueue(enqueue(queue(1, 2), request(1, "a", 3)), request(2, "b", 3));
      OfferResult offer = full.offer(request(3, "c", 0), 0);
      assertThat(((OfferResult.Queued) offer).displaced().orElseThrow().ticket()).isEqualTo(2);
    }

    @Test
    void aLowerTierNeverEvictsAHigherTier() {
      AdmissionQueue full = enqueue(enqueue(queue(1, 2), request(1, "a", 0)), request(2, "b", 0));
      assertThat(full.offer(request(3, "c", 3), 0)).isInstanceOf(OfferResult.Full.class);
    }

    @Test
    void aRequestOfAFloodingWorkspaceIsEvictedForAnotherWorkspace() {
      AdmissionQueue full = queue(1, 3);
      for (int ticket = 1; ticket <= 3; ticket++) {
        full = enqueue(full, request(ticket, "flood", 1));
      }
      OfferResult offer = full.offer(request(4, "small", 1), 0);
      assertThat(((OfferResult.Queued) offer).displaced().orElseThrow().ticket()).isEqualTo(3);
    }

    @Test
    void aRequestThatCannotMeetItsDeadlineIsRejectedWithARetryDelay() {
      AdmissionQueue busy = dispatchNext(enqueue(queue(1, 100), request(1, "a", 0)));
      for (int ticket = 2; ticket < 20; ticket++) {
        busy = enqueue(busy, request(ticket, "a", 0));
      }
      QueuedRequest urgent =
          new QueuedRequest(50, "b", "class-0", 0, 0, 500, 100, 1, 0, false, false, 0);
      assertThat(busy.offer(urgent, 0))
          .isInstanceOfSatisfying(
              OfferResult.TooLate.class,
              late -> assertThat(late.retryAfterMillis()).isGreaterThanOrEqualTo(1000));
    }

    @Test
    void queuedLowerTiersDoNotDelayAHigherTier() {
      AdmissionQueue busy = dispatchNext(enqueue(queue(1, 100), request(1, "a", 3)));
      for (int ticket = 2; ticket < 50; ticket++) {
        busy = enqueue(busy, request(ticket, "a", 3));
      }
      QueuedRequest urgent =
          new QueuedRequest(50, "b", "class-0", 0, 0, 500, 100, 1, 0, false, false, 0);
      assertThat(busy.offer(urgent, 0)).isInstanceOf(OfferResult.Queued.class);
    }
  }

  @Nested
  class NextTest {
    @Test
    void theHighestTierIsDispatchedFirst() {
      AdmissionQueue queue = enqueue(enqueue(queue(1, 10), request(1, "a", 2)), request(2, "a", 0));
      assertThat(queue.next(0).orElseThrow().request().ticket()).isEqualTo(2);
    }

    @Test
    void workspacesShareCapacityByTokens() {
      AdmissionQueue queue = queue(1, 100);
      for (int ticket = 1; ticket <= 10; ticket++) {
        queue = enqueue(queue, request(ticket, "large", 1));
      }
      queue = enqueue(enqueue(queue, request(11, "small", 1)), request(12, "small", 1));
      List<String> order = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        AdmissionQueue.Dispatch dispatch = queue.next(0).orElseThrow();
        order.add(dispatch.request().workspace());
        queue = dispatch.queue().withFinished(dispatch.request().ticket(), 100, 100);
      }
      assertThat(order).containsExactlyInAnyOrder("large", "small", "large", "small");
    }

    @Test
    void aWorkspaceOverBudgetIsDispatchedAfterOthersOfTheSameTier() {
      QueuedRequest over =
          new QueuedRequest(
              1, "a", "class-1", 1, 0, LATE_DEADLINE_MILLIS, 100, 1, 0, true, false, 0);
      AdmissionQueue queue = enqueue(enqueue(queue(1, 10), over), request(2, "b", 1));
      assertThat(queue.next(0).orElseThrow().request().ticket()).isEqualTo(2);
    }

    @Test
    void exclusiveRequestsDoNotRunConcurrently() {
      QueuedRequest first =
          new QueuedRequest(1, "a", "class-1", 1, 0, LATE_DEADLINE_MILLIS, 1, 1, 0, false, true, 0);
      QueuedRequest second =
          new QueuedRequest(2, "b", "class-1", 1, 0, LATE_DEADLINE_MILLIS, 1, 1, 0, false, true, 0);
      AdmissionQueue queue = dispatchNext(enqueue(enqueue(queue(4, 10), first), second));
      assertThat(queue.next(0)).isEmpty();
      assertThat(queue.withFinished(1, 1, 1).next(0)).isPresent();
    }

    @Test
    void everyClassGetsItsFloorShareWhenTheTopTierIsOverloaded() {
      Map<String, Long> served = serveUnderOverload(4, 40);
      long totalTokens = served.values().stream().mapToLong(Long::longValue).sum();
      for (int tier = 1; tier <= 3; tier++) {
        assertThat(served.getOrDefault("class-" + tier, 0L) / (double) totalTokens)
            .as("share of tier %d", tier)
            .isGreaterThanOrEqualTo(0.05 * 0.9);
      }
    }

    @Test
    void queuedTopTierRequestsDoNotExpireWhileFloorSharesAreServed() {
      SplittableRandom random = new SplittableRandom(7);
      AdmissionQueue queue = queue(4, 60);
      long nowMillis = 0;
      long ticket = 0;
      int expiredTopTier = 0;
      Map<Long, Long> endMillisByTicket = new HashMap<>();
      while (nowMillis < 60_000) {
        nowMillis += 10;
        for (int tier = 0; tier < 4; tier++) {
          if (random.nextDouble() < 0.3) {
            QueuedRequest arriving =
                new QueuedRequest(
                    ++ticket,
                    "w" + tier,
                    "class-" + tier,
                    tier,
                    nowMillis,
                    nowMillis + 1500,
                    100,
                    1,
                    0.05,
                    false,
                    false,
                    0);
            if (queue.offer(arriving, nowMillis)
                instanceof OfferResult.Queued(AdmissionQueue next, var evicted)) {
              assertThat(evicted.map(QueuedRequest::tier).orElse(tier))
                  .isGreaterThanOrEqualTo(tier);
              queue = next;
            }
          }
        }
        for (Map.Entry<Long, Long> end : List.copyOf(endMillisByTicket.entrySet())) {
          if (end.getValue() <= nowMillis) {
            endMillisByTicket.remove(end.getKey());
            queue = queue.withFinished(end.getKey(), 100, 100);
          }
        }
        for (QueuedRequest late : queue.expired(nowMillis)) {
          expiredTopTier += late.tier() == 0 ? 1 : 0;
          queue = queue.withoutWaiting(late.ticket());
        }
        Optional<AdmissionQueue.Dispatch> dispatch = queue.next(nowMillis);
        while (dispatch.isPresent()) {
          queue = dispatch.get().queue();
          endMillisByTicket.put(dispatch.get().request().ticket(), nowMillis + 100);
          dispatch = queue.next(nowMillis);
        }
      }
      assertThat(expiredTopTier).isZero();
    }

    private Map<String, Long> serveUnderOverload(int tiers, int perTier) {
      AdmissionQueue queue = queue(1, 400);
      long ticket = 0;
      Map<String, Long> served = new HashMap<>();
      for (int round = 0; round < 2000; round++) {
        for (int tier = 0; tier < tiers; tier++) {
          long waiting = queue.waitingByTier(4).get(tier);
          for (long i = waiting; i < perTier; i++) {
            queue = enqueue(queue, request(++ticket, "w" + tier, tier));
          }
        }
        AdmissionQueue.Dispatch dispatch = queue.next(0).orElseThrow();
        served.merge(dispatch.request().requestClass(), 100L, Long::sum);
        queue = dispatch.queue().withFinished(dispatch.request().ticket(), 100, 100);
      }
      return served;
    }
  }

  @Nested
  class WithFinishedTest {
    @Test
    void actualTokensReplaceTheEstimate() {
      AdmissionQueue queue = queue(1, 10);
      queue = dispatchNext(enqueue(queue, request(1, "short", 1))).withFinished(1, 10, 100);
      queue = dispatchNext(enqueue(queue, request(2, "long", 1))).withFinished(2, 1000, 100);
      queue = enqueue(enqueue(queue, request(3, "long", 1)), request(4, "short", 1));
      assertThat(queue.next(0).orElseThrow().request().workspace()).isEqualTo("short");
    }
  }
}
