package dapplestair.ports;

/** Schedules tasks on the controller's event loop. */
public interface Timers {
  /** Runs {@code task} once, after {@code delayMs}. */
  Cancellable after(long delayMs, Runnable task);
}
