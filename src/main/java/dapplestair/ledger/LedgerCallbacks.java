package dapplestair.ledger;

import dapplestair.state.Txn;

/** Requests and notifications of the ledger to the controller's other components. */
public interface LedgerCallbacks {
  /** Sends the launch of an attempt, which is on record. */
  void launch(Attempt attempt);

  /**
   * Sends a stop of an attempt, with {@code windDownS} seconds to save its state; 0 stops it at
   * once.
   */
  void halt(Attempt attempt, double windDownS);

  /** Reports that an attempt is asked to stop for the first time, for this reason. */
  void onFirstStopRequest(Attempt attempt, StopReason reason);

  /** Reports that an attempt is proved absent though nobody stopped it and it did not exit. */
  void onAttemptLost(Attempt attempt);

  /** Allows a machine to omit an exited attempt from its reports. */
  void clear(String host, String key, long number);

  /** Reports that a job was accepted. */
  void onJobAccepted(Job job);

  /** Reports that free resources or waiting tasks have changed. */
  void onChanged();

  /** Reports that a job was cancelled. */
  void onJobCancelled(Job job);

  /** Adds operations to the transaction that records a job as done. */
  void addToFinishTxn(Job job, Txn txn);

  /** Returns the maximum number of operations that {@link #addToFinishTxn} adds. */
  int maxFinishOperations();

  /** Reports that a job is over. */
  void onJobEnded(String ref, boolean done);

  /** Reports that a task was seen to run. */
  void onTaskStarted(Attempt attempt);

  /** Reports that a task completed after running for so many seconds. */
  void onTaskCompleted(Attempt attempt, Machine machine, double runTimeS);

  /** Reports that a task failed by itself. */
  void onTaskFailed(Attempt attempt, Machine machine);

  /** Returns the machine with this identifier, which is created if it is unknown. */
  Machine host(String id);
}
