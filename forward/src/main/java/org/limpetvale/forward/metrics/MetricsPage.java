package org.limpetvale.forward.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Objects;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * Shows the metrics as Prometheus text.
 *
 * <p>The registry is made at the first look, so that a daemon that nobody looks at does not pay for
 * it.
 */
public final class MetricsPage {
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private final ForwardMetrics metrics;
  private PrometheusMeterRegistry registry;
  private Histogram firstByte = new Histogram(2);
  private Histogram whole = new Histogram(2);

  private MetricsPage(ForwardMetrics metrics) {
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
  }

  /** Returns the page of some metrics. */
  public static MetricsPage of(ForwardMetrics metrics) {
    return new MetricsPage(metrics);
  }

  /** Returns the metrics as text. */
  public String text() {
    if (registry == null) {
      registry = newRegistry();
    }
    firstByte = added(firstByte, metrics.firstByteRecorder());
    whole = added(whole, metrics.wholeAnswerRecorder());
    return registry.scrape();
  }

  private static Histogram added(Histogram total, Recorder recorder) {
    total.add(recorder.getIntervalHistogram());
    return total;
  }

  private PrometheusMeterRegistry newRegistry() {
    PrometheusMeterRegistry fresh = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    for (ForwardMetrics.Counter counter : ForwardMetrics.Counter.values()) {
      FunctionCounter.builder(
              ForwardMetrics.name(counter), metrics, source -> source.value(counter))
          .register(fresh);
    }
    for (ForwardMetrics.Level level : ForwardMetrics.Level.values()) {
      Gauge.builder(ForwardMetrics.name(level), metrics, source -> source.value(level))
          .register(fresh);
    }
    for (double quantile : QUANTILES) {
      gauge(fresh, "limpetvale_first_byte_millis", quantile, true);
      gauge(fresh, "limpetvale_whole_answer_millis", quantile, false);
    }
    return fresh;
  }

  private void gauge(
      PrometheusMeterRegistry target, String name, double quantile, boolean ofFirstByte) {
    Gauge.builder(
            name,
            this,
            page ->
                (ofFirstByte ? page.firstByte : page.whole).getValueAtPercentile(quantile * 100))
        .tag("quantile", String.valueOf(quantile))
        .register(target);
  }
}
