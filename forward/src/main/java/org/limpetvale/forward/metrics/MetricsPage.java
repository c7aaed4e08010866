package org.limpetvale.forward.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Objects;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * Renders the metrics in the Prometheus text format.
 *
 * <p>The registry is created on the first scrape, so that a daemon that is never scraped does not
 * pay for it.
 */
public final class MetricsPage {
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private final ForwardMetrics metrics;
  private PrometheusMeterRegistry registry;
  private Histogram firstByte = new Histogram(2);
  private Histogram wholeAnswer = new Histogram(2);

  private MetricsPage(ForwardMetrics metrics) {
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
  }

  /** Returns a page that shows the given metrics. */
  public static MetricsPage of(ForwardMetrics metrics) {
    return new MetricsPage(metrics);
  }

  /** Returns the metrics in the Prometheus text format. */
  public String text() {
    if (registry == null) {
      registry = newRegistry();
    }
    firstByte = accumulate(firstByte, metrics.firstByteRecorder());
    wholeAnswer = accumulate(wholeAnswer, metrics.wholeAnswerRecorder());
    return registry.scrape();
  }

  private static Histogram accumulate(Histogram total, Recorder recorder) {
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
    for (ForwardMetrics.Gauge level : ForwardMetrics.Gauge.values()) {
      Gauge.builder(ForwardMetrics.name(level), metrics, source -> source.value(level))
          .register(fresh);
    }
    for (double quantile : QUANTILES) {
      registerQuantile(fresh, "limpetvale_first_byte_millis", quantile, true);
      registerQuantile(fresh, "limpetvale_whole_answer_millis", quantile, false);
    }
    return fresh;
  }

  private void registerQuantile(
      PrometheusMeterRegistry target, String name, double quantile, boolean ofFirstByte) {
    Gauge.builder(
            name,
            this,
            page ->
                (ofFirstByte ? page.firstByte : page.wholeAnswer)
                    .getValueAtPercentile(quantile * 100))
        .tag("quantile", String.valueOf(quantile))
        .register(target);
  }
}
