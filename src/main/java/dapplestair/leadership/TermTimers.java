package dapplestair.leadership;

import dapplestair.ports.Cancellable;
import dapplestair.ports.Timers;

/**
 * Timers of a leader's duties. A task armed in one term never runs in another: what it holds is a
 * former term's view, which the records read since then have replaced.
 */
public final class TermTimers implements Timers {
  private final Timers timers;
  private final Leadership leadership;

  /** Timers that run for as long as the term of {@code leadership} in which they are armed. */
  public TermTimers(Timers timers, Leadership leadership) {
    this.timers = timers;
    this.leadership = leadership;
  }

  @Override
  public Cancellable after(long delayMs, Runnable task) {
    long armedTerm = leadership.term();
    return timers.after(
        delayMs,
        () -> {
          if (leadership.isLeadingTerm(armedTerm)) {
            task.run();
          }
        });
  }
}
