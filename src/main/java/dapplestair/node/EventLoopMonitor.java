package dapplestair.node;

import dapplestair.metrics.Metrics;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import java.util.function.Supplier;

/** Measures how late timers fire, and periodically logs the summary line. */
final class EventLoopMonitor implements AutoCloseable {
  private static final long LAG_CHECK_INTERVAL_MS = 50;

  private final Clock clock;
  private final Timers timers;
  private final Metrics metrics;
  private final long summaryIntervalMs;
  private final Supplier<String> statusLine;
  private Cancellable summaryTimer = () -> {};
  private Cancellable lagTimer = () -> {};

  /** Creates a monitor; each summary ends with {@code statusLine}, after the metrics. */
  EventLoopMonitor(
      Clock clock,
      Timers timers,
      Metrics metrics,
      long summaryIntervalMs,
      Supplier<String> statusLine) {
    this.clock = clock;
    this.timers = timers;
    this.metrics = metrics;
    this.summaryIntervalMs = summaryIntervalMs;
    this.statusLine = statusLine;
  }

  void start() {
    measureLag(clock.now());
    logSummary();
  }

  private void measureLag(long dueAtMs) {
    long nowMs = clock.now();
    metrics.recordLoopLag(nowMs - dueAtMs);
    lagTimer = timers.after(LAG_CHECK_INTERVAL_MS, () -> measureLag(nowMs + LAG_CHECK_INTERVAL_MS));
  }

  private void logSummary() {
    summaryTimer = timers.after(summaryIntervalMs, this::logSummary);
    metrics.logSummary(statusLine.get());
  }

  @Override
  public void close() {
    summaryTimer.cancel();
    lagTimer.cancel();
  }
}
