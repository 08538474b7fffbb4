package dapplestair.leadership;

import dapplestair.ports.Cancellable;
import dapplestair.ports.Timers;

/**
 * Timers of the leader's components. A task scheduled in one term never runs in another, since it
 * holds the former term's view, which the records read since then have replaced.
 */
public final class TermTimers implements Timers {
  private final Timers timers;
  private final Leadership leadership;

  /** Creates timers whose tasks run only in the term of {@code leadership} that scheduled them. */
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
