package dapplestair.ledger;

import dapplestair.state.Txn;

/** What the ledger asks of the other duties, and tells them. */
public interface LedgerCallbacks {
  /** The attempt is recorded: its launch may be sent. */
  void launch(Attempt attempt);

  /** Stop it; {@code windDownS} 0 for at once. */
  void halt(Attempt attempt, double windDownS);

  /** It is told to stop for the first time, for this reason. */
  void onFirstStopRequest(Attempt attempt, StopReason why);

  /** It is proved to be absent, though nobody stopped it and it did not exit. */
  void onAttemptLost(Attempt attempt);

  /** An exited attempt need not be reported any more. */
  void clear(String host, String key, long number);

  /** A job was accepted. */
  void onJobAccepted(Job job);

  /** Room or waiting work has changed. */
  void onChanged();

  /** A job was cancelled. */
  void onJobCancelled(Job job);

  /** A job is about to be recorded as done: what has to be recorded with it may be added. */
  void addToFinishTxn(Job job, Txn txn);

  /** How much {@link #addToFinishTxn} may add. */
  int maxFinishOperations();

  /** A job is over. */
  void onJobEnded(String ref, boolean done);

  /** A task runs. */
  void onTaskStarted(Attempt attempt);

  /** A task completed after running this long. */
  void onTaskCompleted(Attempt attempt, Machine machine, double seconds);

  /** A task failed by itself. */
  void onTaskFailed(Attempt attempt, Machine machine);

  /** The machine of this name, known or not. */
  Machine host(String id);
}
