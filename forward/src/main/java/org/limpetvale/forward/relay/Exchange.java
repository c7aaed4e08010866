package org.limpetvale.forward.relay;

import static org.limpetvale.forward.log.EventLog.field;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.limpetvale.core.admission.BacklogLimit;
import org.limpetvale.core.admission.DispatchOrder;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.Choice;
import org.limpetvale.core.placement.EngineModel;
import org.limpetvale.core.result.ExecutionStatus;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.accept.CallerLink;
import org.limpetvale.forward.accept.Exchanges;
import org.limpetvale.forward.accept.ProblemAnswers;
import org.limpetvale.forward.accept.RequestInput;
import org.limpetvale.forward.admit.WaitingRequests;
import org.limpetvale.forward.metrics.ForwardMetrics.Counter;
import org.limpetvale.forward.place.UpstreamState;
import org.limpetvale.forward.route.RequestPlan;
import org.limpetvale.forward.spi.HeaderCodec;
import org.limpetvale.forward.spi.RequestHead;

/**
 * One request from its arrival to the end of its answer: plan, place, send, relay, and send again
 * where that is allowed.
 */
final class Exchange implements Exchanges.Running, Attempt.Listener, WaitingRequests.Waiter {
  /** Time below which another attempt is of no use. */
  private static final long LEAST_RETRY_MILLIS = 40;

  private static final long LEAST_RETRY_AFTER_MILLIS = 200;
  private static final long RETRY_AFTER_SPREAD_MILLIS = 500;
  private static final int MOST_CONNECT_FAILURES = 3;

  private final Forwarder.Parts parts;
  private final RequestInput input;
  private final CallerLink link;
  private final Runnable onEnd;
  private final RequestHead head;
  private final Set<String> tried = new HashSet<>();
  private RequestPlan plan;
  private long endMillis;
  private TimerService.Subscription timeout = () -> {};
  private Attempt attempt;
  private int sentAttempts;
  private int connectFailures;

  /** Whether an attempt that was given up may have run. */
  private boolean mayHaveRun;

  private boolean counted;
  private final AnswerPace pace;
  private final ExchangeLines lines;
  private final RepeatRight repeatRight;
  private final PassedAnswer passed;
  private boolean ended;
  private Optional<String> resumeAfter = Optional.empty();

  Exchange(Forwarder.Parts parts, RequestInput input, CallerLink link, Runnable onEnd) {
    this.parts = parts;
    this.input = input;
    this.link = link;
    this.onEnd = onEnd;
    this.head = parts.dialect().decodeRequest(input.head().headers());
    this.passed = new PassedAnswer(link, input.head().method());
    this.pace = new AnswerPace(input.arrivedMillis());
    this.lines = new ExchangeLines(parts.log(), head);
    this.repeatRight = new RepeatRight(parts.budgets(), parts.metrics(), lines);
  }

  // -- beginning

  void start() {
    parts.metrics().count(Counter.REQUESTS);
    String host = input.head().headers().get(HttpHeaderNames.HOST, "");
    switch (parts.planner().plan(head, host, input.path())) {
      case Result.Err<RequestPlan>(Refusal refusal) -> refuse(refusal);
      case Result.Ok<RequestPlan>(RequestPlan found) -> {
        plan = found;
        if (parts.crashes().condemned(input, plan)) {
          refuse(
              Refusal.of(
                  ResultCode.REQUEST_CRASHES_UPSTREAMS,
                  "upstreams crashed each time that it was run"));
          return;
        }
        long allowed = Math.min(plan.route().timeoutMillis(), deadlineMillis());
        endMillis = input.arrivedMillis() + allowed;
        timeout = parts.timer().after(Math.max(0, leftMillis()), this::timedOut);
        parts.budgets().request(plan.service());
        placeOrWait();
      }
    }
  }

  private long deadlineMillis() {
    OptionalLong given = head.deadlineMillis();
    return given.orElse(plan.route().timeoutMillis());
  }

  private long leftMillis() {
    return endMillis - parts.timer().nowMillis();
  }

  private Route route() {
    return plan.route();
  }

  // -- placing

  @Override
  public String service() {
    return plan.service();
  }

  @Override
  public DispatchOrder.SortKey place() {
    return new DispatchOrder.SortKey(
        plan.rank(), input.arrivedMillis(), route().targetLatencyMillis(), endMillis);
  }

  @Override
  public boolean tryAgain() {
    if (ended) {
      return true;
    }
    Optional<Choice> choice = choose();
    boolean waits =
        choice.isPresent()
            && head.shape().isModelRequest()
            && !BacklogLimit.admits(
                route(), head.shape().promptTokens(), choice.get(), engineModel());
    if (!waits) {
      go(choice);
    }
    return !waits;
  }

  private Optional<Choice> choose() {
    return parts.placer().place(plan, head.shape(), waitedMillis(), tried);
  }

  private EngineModel engineModel() {
    return parts.placer().engines().model(plan.service());
  }

  private long waitedMillis() {
    return parts.timer().nowMillis() - input.arrivedMillis();
  }

  /** Places the request, first or again, or lets it wait for room. */
  private void placeOrWait() {
    if (!tryAgain()) {
      parts.waiting().add(this);
    }
  }

  private void go(Optional<Choice> choice) {
    if (choice.isEmpty()) {
      giveUp(ResultCode.NO_UPSTREAM, "no upstream of " + plan.service() + " can take it");
      return;
    }
    Upstream upstream = choice.get().upstream();
    lines.placed(plan, choice.get(), waitedMillis(), sentAttempts + 1);
    tried.add(upstream.id());
    UpstreamState state = parts.placer().loads().state(upstream);
    int freshTokens = choice.get().load().uncachedTokens(head.shape().promptTokens());
    state.reserve(freshTokens);
    parts
        .pool()
        .acquire(
            upstream,
            route().isRetryable(),
            lease -> {
              state.release(freshTokens);
              connected(choice.get(), state, lease);
            });
  }

  private void connected(Choice choice, UpstreamState state, UpstreamPool.Lease lease) {
    Upstream upstream = choice.upstream();
    switch (lease) {
      case UpstreamPool.Lease.Unreachable(String detail) -> {
        state.connectFailed(parts.timer().nowMillis());
        parts.crashes().unreachable(upstream);
        parts.metrics().count(Counter.CONNECTS_FAILED);
        parts
            .log()
            .change(
                "upstream_unreachable", field("upstream", upstream.id()), field("cause", detail));
        if (!ended) {
          connectFailed();
        }
      }
      case UpstreamPool.Lease.Open(UpstreamConnection connection) -> {
        state.connected();
        if (ended || !stillReady(upstream)) {
          connection.close();
          if (!ended) {
            placeOrWait();
          }
          return;
        }
        send(choice, state, connection);
      }
    }
  }

  private void connectFailed() {
    connectFailures++;
    if (connectFailures >= MOST_CONNECT_FAILURES || leftMillis() < LEAST_RETRY_MILLIS) {
      giveUp(ResultCode.NO_UPSTREAM, "no connection to any upstream tried");
    } else {
      placeOrWait();
    }
  }

  private boolean stillReady(Upstream upstream) {
    return parts
        .fleet()
        .get()
        .find(upstream.id())
        .filter(now -> !now.draining() && now.isSameProcess(upstream))
        .isPresent();
  }

  // -- sending

  private void send(Choice choice, UpstreamState state, UpstreamConnection connection) {
    Upstream upstream = choice.upstream();
    long left = leftMillis();
    if (left <= 0) {
      connection.close();
      return;
    }
    if (!input.body().canReplay()) {
      connection.close();
      giveUp(ResultCode.UPSTREAM_LOST, "the beginning of the body is not kept");
      return;
    }
    if (repeatRight.isHeld() && !repeatRight.use(plan.service())) {
      connection.close();
      giveUp(ResultCode.RETRY_BUDGET_SPENT, "no retry is left as this one is to be sent");
      return;
    }
    sentAttempts++;
    parts.metrics().count(Counter.ATTEMPTS);
    parts.placer().sent(upstream, head.shape());
    attempt =
        new Attempt(
            this, plan, head, choice, state, connection, parts.placer().engines(), parts.timer());
    attempt.send(UpstreamRequest.of(parts.dialect(), input, grant(upstream, left)), input.body());
  }

  private HeaderCodec.RequestMetadata grant(Upstream upstream, long left) {
    Optional<Integer> rank = plan.forEngine() ? Optional.of(plan.rank()) : Optional.empty();
    return new HeaderCodec.RequestMetadata(upstream, plan.workspace(), left, rank, resumeAfter);
  }

  // -- what attempts tell

  @Override
  public void roomAtUpstream() {
    parts.waiting().wake();
  }

  @Override
  public void ranFirstToken() {
    if (!counted) {
      counted = true;
      plan.workspace().ifPresent(workspace -> parts.usage().began(workspace.name()));
    }
  }

  @Override
  public boolean wants(HttpResponse response, boolean signed, boolean notRun) {
    int status = response.status().code();
    if (Statuses.isSuccess(status) && !signed) {
      return false;
    }
    if (passed.hasBegun()) {
      return passed.canGoOnWith(response);
    }
    if (notRun) {
      return status != Statuses.MISDIRECTED && !mayHaveRun && !takeRetry(false);
    }
    return !Statuses.isServerError(status) || !takeRetry(true);
  }

  @Override
  public void passHead(HttpResponse response, boolean notRun) {
    if (passed.hasBegun()) {
      return;
    }
    parts.metrics().firstByte(parts.timer().nowMillis() - input.arrivedMillis());
    if (notRun) {
      passed.beginRefusal(response, retryAfterMillis());
    } else {
      passed.begin(response, route().kind() == Route.Kind.STREAMING && route().resumable());
    }
  }

  @Override
  public void passContent(byte[] bytes) {
    pace.content(parts.timer().nowMillis());
    link.writeContent(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    if (!link.isWritable() && attempt != null) {
      attempt.setReading(false);
    }
  }

  @Override
  public void flush() {
    link.flush();
  }

  @Override
  public void callerWritable() {
    if (attempt != null) {
      attempt.setReading(true);
    }
  }

  @Override
  public void completed(int status) {
    boolean served = Statuses.isSuccess(status);
    parts.metrics().count(served ? Counter.SERVED : Counter.FAILED);
    if (served || status == Statuses.OWN_FAILURE) {
      parts.crashes().answered(input, plan);
    }
    finish(served ? "served" : "passed_on", status);
    link.finish();
  }

  @Override
  public void notServed(Attempt.Failure failure, String detail) {
    Attempt failed = attempt;
    attempt = null;
    boolean ran = failure != Attempt.Failure.NOT_RUN;
    if (failure == Attempt.Failure.SPOILED) {
      parts.metrics().count(Counter.ANSWERS_SPOILED);
    }
    lines.attemptFailed(failed.upstream(), failure, detail, passed.hasBegun());
    switch (failure) {
      case LOST -> parts.crashes().lost(input, plan, failed.upstream());
      case FAILED -> parts.crashes().answered(input, plan);
      case NOT_RUN, SPOILED -> {}
    }
    resumeAfter = failed.lastEventId().or(() -> resumeAfter);
    if (takeRetry(ran)) {
      parts.metrics().count(passed.hasBegun() ? Counter.RESUMES : Counter.RETRIES);
      mayHaveRun |= ran;
      placeOrWait();
      return;
    }
    mayHaveRun |= ran;
    giveUp(code(failure), detail);
  }

  private static ResultCode code(Attempt.Failure failure) {
    return switch (failure) {
      case NOT_RUN -> ResultCode.UPSTREAM_FULL;
      case LOST -> ResultCode.UPSTREAM_LOST;
      case SPOILED -> ResultCode.ANSWER_SPOILED;
      case FAILED -> ResultCode.UPSTREAM_ERROR;
    };
  }

  /** Takes the right to another attempt, once for each failed attempt. */
  private boolean takeRetry(boolean ran) {
    return repeatRight.isHeld() || canRetry(ran) && repeatRight.take(plan.service());
  }

  private boolean canRetry(boolean ran) {
    if (sentAttempts >= route().maxAttempts() || leftMillis() < LEAST_RETRY_MILLIS) {
      return false;
    }
    if (!input.body().canReplay()) {
      return false;
    }
    if (!passed.isOpen()) {
      return false;
    }
    if (ran && !route().isRetryable()) {
      return false;
    }
    return choose().isPresent();
  }

  // -- ends

  private void timedOut() {
    if (ended) {
      return;
    }
    mayHaveRun |= attempt != null;
    cancelAttempt();
    ResultCode code = mayHaveRun ? ResultCode.UPSTREAM_TIMEOUT : ResultCode.NO_UPSTREAM;
    giveUp(code, "the time allowed has passed");
  }

  @Override
  public void callerGone() {
    if (ended) {
      return;
    }
    cancelAttempt();
    parts.metrics().count(Counter.CALLERS_GONE);
    finish("caller_gone", 0);
  }

  /**
   * {@inheritDoc}
   *
   * <p>An upstream that was sent the beginning may have begun to run it, so the refusal must not
   * say that it has not run.
   */
  @Override
  public void bodyFailed(Refusal refusal) {
    if (ended) {
      return;
    }
    boolean begun = attempt != null || mayHaveRun;
    cancelAttempt();
    boolean promises = refusal.code().invitesRetry();
    if (passed.hasBegun() || begun && promises) {
      parts.metrics().count(Counter.FAILED);
      finish("broken_off", 0);
      link.abort();
      return;
    }
    refuse(
        begun
            ? new Refusal(refusal.code(), refusal.detail(), ExecutionStatus.MAY_HAVE_RUN, 0)
            : refusal);
  }

  private void cancelAttempt() {
    if (attempt != null) {
      attempt.cancel();
      attempt = null;
    }
  }

  private void giveUp(ResultCode code, String detail) {
    if (passed.hasBegun()) {
      parts.metrics().count(Counter.FAILED);
      finish("broken_off", 0);
      link.abort();
      return;
    }
    if (!mayHaveRun) {
      refuse(new Refusal(code, detail, ExecutionStatus.NOT_RUN, retryAfterMillis()));
      return;
    }
    boolean promises = code.executionStatus() == ExecutionStatus.NOT_RUN;
    ResultCode honest = promises ? ResultCode.UPSTREAM_LOST : code;
    refuse(new Refusal(honest, detail, ExecutionStatus.MAY_HAVE_RUN, 0));
  }

  private static long retryAfterMillis() {
    return LEAST_RETRY_AFTER_MILLIS
        + ThreadLocalRandom.current().nextLong(RETRY_AFTER_SPREAD_MILLIS);
  }

  private void refuse(Refusal refusal) {
    parts.metrics().count(Counter.REFUSED);
    lines.refused(refusal);
    finish("refused", refusal.code().httpStatus());
    link.answer(ProblemAnswers.of(refusal));
  }

  private void finish(String outcome, int status) {
    ended = true;
    attempt = null;
    if (plan != null) {
      repeatRight.giveBack(plan.service());
    }
    timeout.cancel();
    parts.waiting().remove(this);
    long millis = parts.timer().nowMillis() - input.arrivedMillis();
    parts.metrics().whole(millis);
    lines.ended(outcome, status, plan, sentAttempts, pace, millis);
    onEnd.run();
  }
}
