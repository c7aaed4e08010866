package org.limpetvale.entry;

import com.codahale.metrics.health.HealthCheck;
import com.google.common.flogger.FluentLogger;
import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.lifecycle.Managed;
import io.grpc.Server;
import io.micrometer.core.instrument.MeterRegistry;
import jakarta.servlet.DispatcherType;
import java.util.EnumSet;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.glassfish.jersey.CommonProperties;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.daemon.DaemonApplication;
import org.limpetvale.daemon.GrpcFactory;
import org.limpetvale.daemon.Metrics;
import org.limpetvale.daemon.TransportSecurity;
import org.limpetvale.entry.config.ConfigFreshness;
import org.limpetvale.entry.config.ConfigSync;
import org.limpetvale.entry.config.PeerGrpc;
import org.limpetvale.entry.control.ControlDuties;
import org.limpetvale.entry.http.AdminResource;
import org.limpetvale.entry.http.ChatResource;
import org.limpetvale.entry.http.DrainFilter;
import org.limpetvale.entry.http.ServiceResource;
import org.limpetvale.entry.http.StoppingErrorHandler;
import org.limpetvale.entry.upstream.SidecarPool;
import org.limpetvale.entry.upstream.VmDirectory;
import org.limpetvale.entry.usage.UsageLedger;
import org.limpetvale.entry.usage.UsageRecovery;

/** The entry daemon. */
public final class EntryApplication extends DaemonApplication<EntrySettings> {
  @Override
  public String getName() {
    return "limpetvale-entry";
  }

  @Override
  public void run(EntrySettings settings, Environment environment) {
    MeterRegistry metrics = Metrics.serve(environment);
    Injector injector = Guice.createInjector(new EntryModule(settings, metrics));
    DrainFilter drain = new DrainFilter();
    environment
        .servlets()
        .addFilter("drain", drain)
        .addMappingForUrlPatterns(EnumSet.of(DispatcherType.REQUEST), false, "/*");
    // With the default buffer, flushes within the first 8 KiB of a stream do not reach the caller.
    environment.jersey().property(CommonProperties.OUTBOUND_CONTENT_LENGTH_BUFFER_SERVER, 0);
    environment.jersey().register(injector.getInstance(ChatResource.class));
    environment.jersey().register(injector.getInstance(ServiceResource.class));
    environment.jersey().register(injector.getInstance(AdminResource.class));
    environment
        .healthChecks()
        .register(
            "serving", new ServingHealthCheck(drain, injector.getInstance(ConfigFreshness.class)));
    environment.lifecycle().manage(new EntryLifecycle(settings, injector, drain));
    TimerService timer = injector.getInstance(TimerService.class);
    environment
        .lifecycle()
        .addServerLifecycleListener(
            server -> {
              GracefulShutdown stop =
                  new GracefulShutdown(server, drain, timer, settings.shutdownGraceMillis());
              server.setErrorHandler(new StoppingErrorHandler());
              server.setStopAtShutdown(false);
              Runtime.getRuntime().addShutdownHook(new Thread(stop, "graceful-stop"));
            });
  }

  /** Reports to the load balancer whether this entry accepts requests. */
  private static final class ServingHealthCheck extends HealthCheck {
    private final DrainFilter drain;
    private final ConfigFreshness freshness;

    ServingHealthCheck(DrainFilter drain, ConfigFreshness freshness) {
      this.drain = Objects.requireNonNull(drain, "drain is null");
      this.freshness = Objects.requireNonNull(freshness, "freshness is null");
    }

    @Override
    protected Result check() {
      if (drain.isDraining()) {
        return Result.unhealthy("stopping");
      }
      return freshness.mayServeKeyedRoutes()
          ? Result.healthy()
          : Result.unhealthy("the configuration cannot be confirmed");
    }
  }

  /** Starts the components of the entry, and stops them after the requests have drained. */
  private static final class EntryLifecycle implements Managed {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long POLL_MILLIS = 50;
    private static final long FLUSH_TIMEOUT_MILLIS = 10_000;

    private final EntrySettings settings;
    private final Injector injector;
    private final DrainFilter drain;
    private Server server;

    EntryLifecycle(EntrySettings settings, Injector injector, DrainFilter drain) {
      this.settings = Objects.requireNonNull(settings, "settings is null");
      this.injector = Objects.requireNonNull(injector, "injector is null");
      this.drain = Objects.requireNonNull(drain, "drain is null");
    }

    @Override
    public void start() {
      server =
          GrpcFactory.serve(
              settings.grpc(),
              injector.getInstance(TransportSecurity.class),
              injector.getInstance(PeerGrpc.class));
      VmDirectory directory = injector.getInstance(VmDirectory.class);
      SidecarPool pool = injector.getInstance(SidecarPool.class);
      directory.subscribe(pool::update);
      directory.start();
      injector.getInstance(ConfigSync.class).start();
      injector.getInstance(UsageRecovery.class);
      injector.getInstance(ControlDuties.class).start();
      logger.atInfo().log(
          "listening vm=%s zone=%s grpc=%s:%d",
          settings.identity().vm(),
          settings.identity().zone(),
          settings.grpc().host(),
          settings.grpc().port());
    }

    @Override
    public void stop() throws InterruptedException {
      TimerService timer = injector.getInstance(TimerService.class);
      injector.getInstance(ControlDuties.class).stop();
      flush(timer);
      injector.getInstance(SidecarPool.class).close();
      server.shutdownNow().awaitTermination(1, TimeUnit.SECONDS);
      logger.atInfo().log("stopped: %d requests cut", drain.active());
    }

    private void flush(TimerService timer) throws InterruptedException {
      UsageLedger ledger = injector.getInstance(UsageLedger.class);
      long endMillis = timer.nowMillis() + FLUSH_TIMEOUT_MILLIS;
      while (!ledger.flush() && timer.nowMillis() < endMillis) {
        Thread.sleep(POLL_MILLIS);
      }
    }
  }
}
