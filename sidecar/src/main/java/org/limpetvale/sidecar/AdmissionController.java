package org.limpetvale.sidecar;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.limpetvale.core.admission.AdmissionQueue;
import org.limpetvale.core.admission.OfferResult;
import org.limpetvale.core.admission.QueuedRequest;
import org.limpetvale.core.config.RequestClass;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.wire.Open;

/**
 * Admits requests to this upstream and dispatches them in the order of the queue. No other class
 * admits requests.
 */
final class AdmissionController {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long EXPIRY_PERIOD_MILLIS = 100;
  private static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 1000;

  private final UpstreamRunner runner;
  private final UpstreamState upstream;
  private final TimerService timer;
  private final MeterRegistry metrics;
  private final Map<Long, Attempt> waitingAttempts = new ConcurrentHashMap<>();
  private final Object lock = new Object();
  private AdmissionQueue queue;
  private volatile boolean draining;

  AdmissionController(
      AdmissionQueue queue,
      UpstreamRunner runner,
      UpstreamState upstream,
      TimerService timer,
      MeterRegistry metrics) {
    this.queue = Objects.requireNonNull(queue, "queue is null");
    this.runner = Objects.requireNonNull(runner, "runner is null");
    this.upstream = Objects.requireNonNull(upstream, "upstream is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    timer.every(EXPIRY_PERIOD_MILLIS, this::refuseExpired);
    upstream.subscribe(this::onUpstreamDown, this::dispatchQueued);
    for (int tier = 0; tier < RequestClass.TIERS; tier++) {
      int gaugeTier = tier;
      Gauge.builder(
              "limpetvale.sidecar.queue.depth", this, admission -> admission.queueDepth(gaugeTier))
          .tag("tier", String.valueOf(gaugeTier))
          .register(metrics);
    }
  }

  /**
   * Queues or refuses an attempt. If it displaces another queued attempt, that one, which has not
   * run, is refused immediately.
   */
  void offer(Attempt attempt) {
    long nowMillis = timer.nowMillis();
    QueuedRequest waiting = toQueuedRequest(attempt, nowMillis);
    Optional<QueuedRequest> displaced = Optional.empty();
    OfferResult offer;
    synchronized (lock) {
      offer = draining || !upstream.isUp() ? null : queue.offer(waiting, nowMillis);
      if (offer
          instanceof
          OfferResult.Queued(AdmissionQueue next, Optional<QueuedRequest> displacedRequest)) {
        queue = next;
        waitingAttempts.put(attempt.ticket(), attempt);
        attempt.accepted(next.waiting().size());
        displaced = displacedRequest;
      }
    }
    switch (offer) {
      case null -> refuseUnavailable(attempt);
      case OfferResult.Queued ignored -> {
        displaced.ifPresent(this::refuseDisplaced);
        attempt.onAbort(() -> cancelWaiting(attempt));
        dispatchQueued();
      }
      case OfferResult.Full(long retryAfterMillis) ->
          refuse(attempt, ResultCode.QUEUE_FULL, "the queue is full", retryAfterMillis);
      case OfferResult.TooLate(long retryAfterMillis) ->
          refuse(
              attempt,
              ResultCode.TARGET_OUT_OF_REACH,
              "the predicted wait is longer than the class allows",
              retryAfterMillis);
    }
  }

  /** Refuses new attempts and those in the queue; running attempts continue. */
  void drain() {
    synchronized (lock) {
      draining = true;
    }
    refuseWaiting();
  }

  private void onUpstreamDown() {
    logger.atWarning().log("the upstream is down; refusing all waiting requests");
    refuseWaiting();
  }

  private void refuseWaiting() {
    List<Attempt> refused = new ArrayList<>();
    synchronized (lock) {
      for (QueuedRequest each : queue.waiting()) {
        queue = queue.withoutWaiting(each.ticket());
        Optional.ofNullable(waitingAttempts.remove(each.ticket())).ifPresent(refused::add);
      }
    }
    refused.forEach(this::refuseUnavailable);
  }

  private void refuseUnavailable(Attempt attempt) {
    if (draining) {
      refuse(
          attempt, ResultCode.DRAINING, "the upstream is leaving", UNAVAILABLE_RETRY_AFTER_MILLIS);
    } else {
      refuse(
          attempt, ResultCode.NO_UPSTREAM, "the upstream is down", UNAVAILABLE_RETRY_AFTER_MILLIS);
    }
  }

  /** Accepts new attempts again. */
  void undrain() {
    draining = false;
  }

  boolean isDraining() {
    return draining;
  }

  AdmissionQueue snapshot() {
    synchronized (lock) {
      return queue;
    }
  }

  private int queueDepth(int tier) {
    return snapshot().waitingByTier(RequestClass.TIERS).get(tier);
  }

  private void dispatchQueued() {
    while (true) {
      Attempt attempt;
      QueuedRequest request;
      synchronized (lock) {
        Optional<AdmissionQueue.Dispatch> dispatch =
            upstream.isUp() ? queue.next(timer.nowMillis()) : Optional.empty();
        if (dispatch.isEmpty()) {
          return;
        }
        queue = dispatch.get().queue();
        request = dispatch.get().request();
        attempt = waitingAttempts.remove(request.ticket());
      }
      if (attempt == null || attempt.isCancelled()) {
        finish(request, 0, 0);
        continue;
      }
      Thread.ofVirtual().name("run-" + request.ticket()).start(() -> run(attempt, request));
    }
  }

  private void run(Attempt attempt, QueuedRequest request) {
    long startMillis = timer.nowMillis();
    long waitedMillis = startMillis - request.arrivedMillis();
    metrics
        .timer("limpetvale.sidecar.wait", "tier", String.valueOf(request.tier()))
        .record(waitedMillis, TimeUnit.MILLISECONDS);
    logger.atInfo().log(
        "dispatch request=%s attempt=%d workspace=%s class=%s tier=%d waitedMillis=%d",
        attempt.open().getRequestId(),
        attempt.open().getAttempt(),
        request.workspace(),
        request.requestClass(),
        request.tier(),
        waitedMillis);
    attempt.dispatched(waitedMillis);
    long tokens = 0;
    try {
      tokens = runner.run(attempt).tokens();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "attempt failed: request=%s", attempt.open().getRequestId());
      attempt.failed(ResultCode.INTERNAL, String.valueOf(e.getMessage()), false);
    } finally {
      finish(request, tokens, timer.nowMillis() - startMillis);
    }
    dispatchQueued();
  }

  private void finish(QueuedRequest request, long tokens, long serviceMillis) {
    synchronized (lock) {
      queue = queue.withFinished(request.ticket(), tokens, serviceMillis);
    }
  }

  private void refuseExpired() {
    List<Attempt> expired = new ArrayList<>();
    synchronized (lock) {
      for (QueuedRequest each : queue.expired(timer.nowMillis())) {
        queue = queue.withoutWaiting(each.ticket());
        Optional.ofNullable(waitingAttempts.remove(each.ticket())).ifPresent(expired::add);
      }
    }
    expired.forEach(
        each ->
            refuse(
                each,
                ResultCode.TARGET_OUT_OF_REACH,
                "the wait grew longer than the class allows",
                Math.round(snapshot().meanServiceMillis())));
  }

  private void cancelWaiting(Attempt attempt) {
    synchronized (lock) {
      if (waitingAttempts.remove(attempt.ticket()) == null) {
        return;
      }
      queue = queue.withoutWaiting(attempt.ticket());
    }
    refuse(attempt, ResultCode.CANCELLED, "cancelled while it waited", 0);
  }

  private void refuseDisplaced(QueuedRequest displacedRequest) {
    Attempt attempt = waitingAttempts.remove(displacedRequest.ticket());
    if (attempt != null) {
      refuse(
          attempt,
          ResultCode.DISPLACED,
          "a request with precedence took the place",
          snapshot().predictedWaitMillis(displacedRequest.tier()));
    }
  }

  private void refuse(Attempt attempt, ResultCode code, String detail, long retryAfterMillis) {
    metrics
        .counter(
            "limpetvale.sidecar.refusals",
            "code",
            code.label(),
            "tier",
            String.valueOf(attempt.open().getTier()))
        .increment();
    logger.atInfo().log(
        "refuse request=%s attempt=%d workspace=%s class=%s tier=%d code=%s",
        attempt.open().getRequestId(),
        attempt.open().getAttempt(),
        attempt.open().getWorkspace(),
        attempt.open().getRequestClass(),
        attempt.open().getTier(),
        code.label());
    attempt.refused(code, detail, retryAfterMillis);
  }

  private static QueuedRequest toQueuedRequest(Attempt attempt, long nowMillis) {
    Open open = attempt.open();
    return new QueuedRequest(
        attempt.ticket(),
        open.getWorkspace(),
        open.getRequestClass(),
        Math.clamp(open.getTier(), 0, RequestClass.TIERS - 1),
        nowMillis,
        nowMillis + open.getMaxWaitMillis(),
        Math.max(1, open.getEstimatedTokens()),
        open.getWeight() > 0 ? open.getWeight() : 1,
        open.getFloorShare(),
        open.getOverBudget(),
        !open.getSuspectDigest().isEmpty(),
        0);
  }
}
