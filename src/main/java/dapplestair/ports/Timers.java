package dapplestair.ports;

/** Work to be done later on the controller's own loop. */
public interface Timers {
  /** Runs {@code task} once, {@code delayMs} from now. */
  Cancellable after(long delayMs, Runnable task);
}
