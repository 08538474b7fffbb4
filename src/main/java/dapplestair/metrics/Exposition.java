package dapplestair.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.core.metrics.Info;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/** Exposes metrics in the Prometheus text format; exists only where operators are served. */
public final class Exposition implements Metrics.Sink {
  private static final String PREFIX = "dapplestair_";

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Histogram acceptanceSeconds =
      Histogram.builder()
          .name(PREFIX + "submission_accept_seconds")
          .help("Time from a submission's arrival to its acceptance.")
          .classicOnly()
          .classicUpperBounds(.005, .01, .025, .05, .1, .2, .3, .5, 1, 2, 5)
          .register(registry);
  private final Histogram taskStartSeconds =
      Histogram.builder()
          .name(PREFIX + "task_start_seconds")
          .help("Time from a job's acceptance to the start of one of its tasks.")
          .classicOnly()
          .classicUpperBounds(.5, 1, 2, 5, 10, 20, 50, 100, 200, 500)
          .register(registry);
  private final Histogram loopLagSeconds =
      Histogram.builder()
          .name(PREFIX + "loop_lag_seconds")
          .help("How much late the loop's timers fire.")
          .classicOnly()
          .classicUpperBounds(.001, .005, .01, .025, .05, .1, .25, .5, 1, 5)
          .register(registry);
  private final Counter shedRequests =
      Counter.builder()
          .name(PREFIX + "requests_shed_total")
          .help("Users' requests answered with 503.")
          .register(registry);
  private final Counter failedAttempts =
      Counter.builder()
          .name(PREFIX + "attempts_failed_total")
          .help("Attempts that ended by themselves without completing.")
          .register(registry);

  /** Creates an exposition that has measured nothing yet. */
  public Exposition(String version) {
    Info.builder()
        .name(PREFIX + "build_info")
        .help("Which version this is.")
        .labelNames("version")
        .register(registry)
        .addLabelValues(version);
  }

  /** Registers a gauge whose value is read at each scrape. */
  public Exposition gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(PREFIX + name)
        .help(help)
        .callback(c -> c.call(value.getAsDouble()))
        .register(registry);
    return this;
  }

  /** Registers gauges that differ by a label and whose values are read at each scrape. */
  public Exposition gauges(
      String name,
      String help,
      String label,
      Supplier<? extends Map<String, ? extends Number>> values) {
    GaugeWithCallback.builder()
        .name(PREFIX + name)
        .help(help)
        .labelNames(label)
        .callback(c -> values.get().forEach((k, v) -> c.call(v.doubleValue(), k)))
        .register(registry);
    return this;
  }

  @Override
  public void recordAcceptance(long ms) {
    acceptanceSeconds.observe(ms / 1000.0);
  }

  @Override
  public void recordTaskStart(long ms) {
    taskStartSeconds.observe(ms / 1000.0);
  }

  @Override
  public void recordLoopLag(long ms) {
    loopLagSeconds.observe(ms / 1000.0);
  }

  @Override
  public void recordShedRequest() {
    shedRequests.inc();
  }

  @Override
  public void recordFailedAttempt() {
    failedAttempts.inc();
  }

  /** Returns the current values of all metrics in the text format. */
  public byte[] scrape() {
    ByteArrayOutputStream out = new ByteArrayOutputStream(8192);
    try {
      new PrometheusTextFormatWriter(false).write(out, registry.scrape());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return out.toByteArray();
  }
}
