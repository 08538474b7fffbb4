package dapplestair.emulator;

/** Sees what truly happens on machines. */
public interface Witness {
  /** A task runs from now on. */
  void started(EmulatedWorker worker, EmulatedTask task);

  /** A task has completed. */
  void completed(String key);

  /** A task that had not exited was stopped by an order, or by the return of its machine. */
  default void stopped(EmulatedWorker worker, EmulatedTask task) {}

  /** A witness that looks away. */
  static Witness none() {
    return new Witness() {
      @Override
      public void started(EmulatedWorker worker, EmulatedTask task) {}

      @Override
      public void completed(String key) {}
    };
  }
}
