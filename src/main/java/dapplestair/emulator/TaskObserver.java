package dapplestair.emulator;

/** Observes what really happens to tasks on machines, whatever the workers report. */
public interface TaskObserver {
  /** Called when a task begins to run. */
  void started(EmulatedWorker worker, EmulatedTask task);

  /** Called when a task has completed. */
  void completed(String key);

  /** Called when a machine has refused to launch a task because it does not fit. */
  default void refusedAsFull(EmulatedWorker worker, EmulatedTask task) {}

  /** Called when a machine was released with a task that had not exited. */
  default void releasedWithTask(EmulatedWorker worker, EmulatedTask task) {}

  /** Called when an order has stopped a task that had not exited. */
  default void stopped(EmulatedWorker worker, EmulatedTask task) {}

  /** Called when a machine has resumed after a hang and has executed the deferred requests. */
  default void resumed(EmulatedWorker worker) {}

  /** Returns an observer that ignores everything. */
  static TaskObserver none() {
    return new TaskObserver() {
      @Override
      public void started(EmulatedWorker worker, EmulatedTask task) {}

      @Override
      public void completed(String key) {}
    };
  }
}
