package org.limpetvale.entry.account;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.limpetvale.core.result.ExecutionStatus;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.core.usage.UsageFigures;
import org.limpetvale.core.usage.UsageRecord;
import org.limpetvale.entry.route.AnswerLengthEstimator;
import org.limpetvale.entry.route.DecisionLog;
import org.limpetvale.entry.run.ModelRequest;
import org.limpetvale.entry.run.ModelRun;
import org.limpetvale.entry.run.RunUpdate;
import org.limpetvale.entry.run.ServiceRequest;
import org.limpetvale.entry.run.ServiceRun;
import org.limpetvale.entry.usage.UsageLedger;

/**
 * Counts requests by outcome and records the usage of completely delivered responses for billing.
 */
public final class Accounting {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final UsageLedger ledger;
  private final AnswerLengthEstimator lengths;
  private final DecisionLog decisions;
  private final TimerService timer;
  private final MeterRegistry metrics;

  /** Creates the accounting of an entry. */
  public Accounting(
      UsageLedger ledger,
      AnswerLengthEstimator lengths,
      DecisionLog decisions,
      TimerService timer,
      MeterRegistry metrics) {
    this.ledger = Objects.requireNonNull(ledger, "ledger is null");
    this.lengths = Objects.requireNonNull(lengths, "lengths is null");
    this.decisions = Objects.requireNonNull(decisions, "decisions is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
  }

  /** Starts tracking a model request. */
  public RequestTracker track(ModelRequest request) {
    return new RequestTracker(request);
  }

  /** Records a refused request: counts it, logs it and completes its routing decision. */
  public void recordRefusal(String requestId, String workspace, String className, Refusal refusal) {
    countRequest(className, "refused", refusal.code().label());
    logger.atInfo().log(
        "end request=%s workspace=%s class=%s code=%s ran=%s",
        requestId, workspace, className, refusal.code().label(), refusal.executionStatus().text());
    decisions.recordEnd(requestId, 0, refusal.code().label() + " " + refusal.detail());
  }

  /** Records the usage of a service call whose response the caller has received. */
  public void recordServiceCompletion(ServiceRequest request, ServiceRun run) {
    countRequest(request.className(), "attained", "");
    UsageRecord record =
        new UsageRecord(
            request.requestId(), request.caller().workspace(), new UsageFigures(0, 0, 1));
    ledger.add(record, run.vm());
    run.confirmDelivery(ledger.writerId(), toWire(record));
  }

  /** Records a service call that was refused or that failed. */
  public void recordServiceRefusal(ServiceRequest request, Refusal refusal) {
    recordRefusal(request.requestId(), request.caller().workspace(), request.className(), refusal);
    if (refusal.executionStatus() != ExecutionStatus.NOT_RUN) {
      ledger.recordUnprovenUsage(request.caller().workspace(), request.requestId(), 0);
    }
  }

  private void countRequest(String className, String outcome, String code) {
    metrics
        .counter("limpetvale.requests", "class", className, "outcome", outcome, "code", code)
        .increment();
  }

  /** Tracks the progress and the outcome of one model request. */
  public final class RequestTracker {
    private final ModelRequest request;
    private final long startMillis = timer.nowMillis();
    private long firstTokenMillis;
    private int tokens;

    private RequestTracker(ModelRequest request) {
      this.request = request;
    }

    /** Records a token that was sent to the caller. */
    public void recordToken() {
      tokens++;
      if (tokens == 1) {
        firstTokenMillis = timer.nowMillis();
        metrics
            .timer("limpetvale.first.token", "class", request.className())
            .record(firstTokenMillis - startMillis, TimeUnit.MILLISECONDS);
      }
    }

    /** Records the usage of a complete response. */
    public void recordCompletion(RunUpdate.Done done, ModelRun run) {
      UsageFigures figures = new UsageFigures(done.promptTokens(), done.completionTokens(), 1);
      UsageRecord record =
          new UsageRecord(request.requestId(), request.caller().workspace(), figures);
      ledger.add(record, run.vm());
      run.confirmDelivery(ledger.writerId(), toWire(record));
      lengths.recordAnswer(
          request.caller().workspace(), request.className(), done.completionTokens());
      boolean attained = meetsTargets();
      countRequest(request.className(), attained ? "attained" : "late", "");
      logger.atInfo().log(
          "end request=%s workspace=%s class=%s vm=%s promptTokens=%d completionTokens=%d"
              + " cachedTokens=%d firstTokenMillis=%d totalMillis=%d attained=%s",
          request.requestId(),
          request.caller().workspace(),
          request.className(),
          run.vm(),
          done.promptTokens(),
          done.completionTokens(),
          done.cachedTokens(),
          firstTokenMillis - startMillis,
          timer.nowMillis() - startMillis,
          attained);
      decisions.recordEnd(request.requestId(), 0, "finished at " + run.vm());
    }

    /** Records a request that ended without a complete response. */
    public void recordRefusal(Refusal refusal, ModelRun run) {
      Accounting.this.recordRefusal(
          request.requestId(), request.caller().workspace(), request.className(), refusal);
      if (run.relayedTokens() > 0) {
        metrics.counter("limpetvale.wasted.tokens").increment(run.relayedTokens());
        ledger.recordUnprovenUsage(
            request.caller().workspace(), request.requestId(), run.relayedTokens());
      }
    }

    private boolean meetsTargets() {
      long firstTokenLatencyMillis = firstTokenMillis - startMillis;
      long streamDurationMillis = timer.nowMillis() - firstTokenMillis;
      double meanGapMillis = tokens > 1 ? streamDurationMillis / (double) (tokens - 1) : 0;
      return firstTokenLatencyMillis <= request.level().firstTokenTargetMillis()
          && meanGapMillis <= request.level().tokenGapTargetMillis();
    }
  }

  private static org.limpetvale.wire.UsageRecord toWire(UsageRecord record) {
    return org.limpetvale.wire.UsageRecord.newBuilder()
        .setRecordId(record.recordId())
        .setWorkspace(record.workspace())
        .setPromptTokens(record.figures().promptTokens())
        .setCompletionTokens(record.figures().completionTokens())
        .setCalls(record.figures().calls())
        .build();
  }
}
