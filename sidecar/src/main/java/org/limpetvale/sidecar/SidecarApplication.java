package org.limpetvale.sidecar;

import com.google.common.flogger.FluentLogger;
import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.lifecycle.Managed;
import io.grpc.Server;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.daemon.DaemonApplication;
import org.limpetvale.daemon.GrpcFactory;
import org.limpetvale.daemon.Metrics;
import org.limpetvale.daemon.TransportSecurity;

/** The sidecar daemon. */
public final class SidecarApplication extends DaemonApplication<SidecarSettings> {
  @Override
  public String getName() {
    return "limpetvale-sidecar";
  }

  @Override
  public void run(SidecarSettings settings, Environment environment) {
    environment.jersey().disable();
    MeterRegistry metrics = Metrics.serve(environment);
    Injector injector = Guice.createInjector(new SidecarModule(settings, metrics));
    SidecarState state = injector.getInstance(SidecarState.class);
    environment.healthChecks().register("upstream", new UpstreamHealthCheck(state));
    environment.lifecycle().manage(new Listener(settings, injector));
  }

  /**
   * Runs the gRPC server. On a stop, drains and waits up to the grace period for active attempts to
   * end.
   */
  private static final class Listener implements Managed {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long POLL_MILLIS = 50;

    /** Time for entries to receive the last events before the server stops, in milliseconds. */
    private static final long LINGER_MILLIS = 300;

    private final SidecarSettings settings;
    private final Injector injector;
    private Server server;

    Listener(SidecarSettings settings, Injector injector) {
      this.settings = Objects.requireNonNull(settings, "settings is null");
      this.injector = Objects.requireNonNull(injector, "injector is null");
    }

    @Override
    public void start() {
      server =
          GrpcFactory.serve(
              settings.grpc(),
              TransportSecurity.of(settings.grpc().tls()),
              injector.getInstance(SidecarGrpcService.class));
      logger.atInfo().log(
          "listening vm=%s zone=%s grpc=%s:%d",
          settings.identity().vm(),
          settings.identity().zone(),
          settings.grpc().host(),
          settings.grpc().port());
    }

    @Override
    public void stop() throws InterruptedException {
      AdmissionController admission = injector.getInstance(AdmissionController.class);
      AttemptRegistry attempts = injector.getInstance(AttemptRegistry.class);
      TimerService timer = injector.getInstance(TimerService.class);
      logger.atInfo().log("stopping: %d requests active", attempts.active().size());
      admission.drain();
      long endMillis = timer.nowMillis() + settings.shutdownGraceMillis();
      while (!attempts.active().isEmpty() && timer.nowMillis() < endMillis) {
        Thread.sleep(POLL_MILLIS);
      }
      Thread.sleep(LINGER_MILLIS);
      logger.atInfo().log("stopped: %d requests cut", attempts.active().size());
      server.shutdownNow().awaitTermination(1, TimeUnit.SECONDS);
    }
  }
}
