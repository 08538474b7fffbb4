package dapplestair.emulator;

/** Sees what truly happens on machines. */
public interface TaskObserver {
  /** A task runs from now on. */
  void started(EmulatedWorker worker, EmulatedTask task);

  /** A task has completed. */
  void completed(String key);

  /** A machine has refused to start a task, since it had no room for it. */
  default void refusedAsFull(EmulatedWorker worker, EmulatedTask task) {}

  /** A machine was returned with a task that had not exited. */
  default void releasedWithTask(EmulatedWorker worker, EmulatedTask task) {}

  /** A task that had not exited was stopped by an order. */
  default void stopped(EmulatedWorker worker, EmulatedTask task) {}

  /** A machine that hung goes on, and has done what it was told meanwhile. */
  default void resumed(EmulatedWorker worker) {}

  /** A witness that looks away. */
  static TaskObserver none() {
    return new TaskObserver() {
      @Override
      public void started(EmulatedWorker worker, EmulatedTask task) {}

      @Override
      public void completed(String key) {}
    };
  }
}
