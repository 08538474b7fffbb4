package dapplestair.node;

import dapplestair.metrics.Metrics;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import java.util.function.Supplier;

/** Measures how late timers fire, and writes the summary line now and then. */
final class EventLoopMonitor implements AutoCloseable {
  private static final long LAG_EVERY_MS = 50;

  private final Clock clock;
  private final Timers timers;
  private final Metrics metrics;
  private final long summaryEveryMs;
  private final Supplier<String> standing;
  private Cancellable summary = () -> {};
  private Cancellable lag = () -> {};

  /** {@code standing} is what a summary says besides the figures. */
  EventLoopMonitor(
      Clock clock, Timers timers, Metrics metrics, long summaryEveryMs, Supplier<String> standing) {
    this.clock = clock;
    this.timers = timers;
    this.metrics = metrics;
    this.summaryEveryMs = summaryEveryMs;
    this.standing = standing;
  }

  void start() {
    watch(clock.now());
    summarise();
  }

  private void watch(long dueAt) {
    long now = clock.now();
    metrics.lagged(now - dueAt);
    lag = timers.after(LAG_EVERY_MS, () -> watch(now + LAG_EVERY_MS));
  }

  private void summarise() {
    summary = timers.after(summaryEveryMs, this::summarise);
    metrics.summarise(standing.get());
  }

  @Override
  public void close() {
    summary.cancel();
    lag.cancel();
  }
}
