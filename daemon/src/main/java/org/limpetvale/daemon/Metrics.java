package org.limpetvale.daemon;

import io.dropwizard.core.setup.Environment;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;

/** Exposes the metrics of a process to Prometheus on the admin port. */
public final class Metrics {
  private static final String PATH = "/prometheus";

  private Metrics() {}

  /** Returns a new registry that is exposed on the admin port of a daemon. */
  public static PrometheusMeterRegistry serve(Environment environment) {
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    new JvmMemoryMetrics().bindTo(registry);
    new ProcessorMetrics().bindTo(registry);
    environment.admin().addServlet("prometheus", new ScrapeServlet(registry)).addMapping(PATH);
    return registry;
  }

  private static final class ScrapeServlet extends HttpServlet {
    private static final long serialVersionUID = 1L;

    private final transient PrometheusMeterRegistry registry;

    ScrapeServlet(PrometheusMeterRegistry registry) {
      this.registry = registry;
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response)
        throws IOException {
      response.setContentType("text/plain; version=0.0.4; charset=utf-8");
      response.getWriter().write(registry.scrape());
    }
  }
}
