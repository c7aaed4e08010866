package org.limpetvale.sidecar;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import org.limpetvale.core.admission.AdmissionQueue;
import org.limpetvale.core.admission.UpstreamLimits;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.ports.time.ThreadTimerService;

/** Guice bindings of the sidecar. */
final class SidecarModule extends AbstractModule {
  private final SidecarSettings settings;
  private final MeterRegistry metrics;

  SidecarModule(SidecarSettings settings, MeterRegistry metrics) {
    this.settings = Objects.requireNonNull(settings, "settings is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
  }

  @Provides
  @Singleton
  TimerService timer() {
    return ThreadTimerService.of();
  }

  @Provides
  @Singleton
  AtomicReference<Rates> rates() {
    return new AtomicReference<>(Rates.empty());
  }

  @Provides
  @Singleton
  UpstreamHttpClient http() {
    UpstreamSettings upstream = settings.upstream();
    return switch (upstream.kind()) {
      case MODEL -> UpstreamHttpClient.of(upstream.url(), upstream.tokenGapLimitMillis());
      case SERVICE -> UpstreamHttpClient.of(upstream.url(), upstream.callLimitMillis());
    };
  }

  @Provides
  @Singleton
  UpstreamState upstreamState(UpstreamHttpClient http, TimerService timer) {
    return new UpstreamState(http::isHealthy, timer);
  }

  @Provides
  @Singleton
  UpstreamRunner runner(
      UpstreamHttpClient http,
      UpstreamState upstream,
      TimerService timer,
      AtomicReference<Rates> rates) {
    return switch (settings.upstream().kind()) {
      case MODEL -> new ModelRunner(http, upstream, timer, rates);
      case SERVICE -> new ServiceRunner(http, upstream);
    };
  }

  @Provides
  @Singleton
  AdmissionController admission(
      UpstreamRunner runner, UpstreamState upstreamState, TimerService timer) {
    UpstreamSettings upstream = settings.upstream();
    UpstreamLimits limits = new UpstreamLimits(upstream.capacity(), upstream.queueLimit());
    return new AdmissionController(
        AdmissionQueue.of(limits, upstream.expectedServiceMillis()),
        runner,
        upstreamState,
        timer,
        metrics);
  }

  @Provides
  @Singleton
  AttemptRegistry attempts(TimerService timer) {
    return new AttemptRegistry(timer, metrics);
  }

  @Provides
  @Singleton
  UsageRecordBuffer usage(TimerService timer) {
    return new UsageRecordBuffer(timer);
  }

  @Provides
  @Singleton
  SidecarState state(
      AdmissionController admission, UpstreamState upstreamState, AtomicReference<Rates> rates) {
    return new SidecarState(
        settings.identity(), settings.upstream(), admission, upstreamState, rates);
  }

  @Provides
  @Singleton
  OrderFence orderFence(
      UpstreamHttpClient http, AdmissionController admission, SidecarState state) {
    return new OrderFence(new HttpOrderExecutor(http, admission, state));
  }

  @Provides
  @Singleton
  SidecarGrpcService grpc(
      SidecarState state,
      AdmissionController admission,
      AttemptRegistry attempts,
      OrderFence orderFence,
      UsageRecordBuffer usage,
      TimerService timer) {
    return new SidecarGrpcService(state, admission, attempts, orderFence, usage, timer);
  }
}
