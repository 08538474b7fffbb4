package dapplestair.submissions;

import dapplestair.json.Json;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.state.StateKeys;
import dapplestair.work.BoundedMap;
import dapplestair.work.Submission;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Finds live and ended jobs by their reference. A result is never older than one returned earlier
 * by any controller.
 */
final class JobFinder {
  private static final int MAX_FINAL_STATES = 20_000;

  private final StateClient state;
  private final Replica replica;
  private final Ledger ledger;
  private final Map<String, Boolean> doneByEndedJob = new BoundedMap<>(MAX_FINAL_STATES);

  JobFinder(StateClient state, Replica replica, Ledger ledger) {
    this.state = state;
    this.replica = replica;
    this.ledger = ledger;
  }

  /** Records that a job is over for good: {@code done}, or cancelled. */
  void recordEnd(String ref, boolean done) {
    doneByEndedJob.put(ref, done);
  }

  /** Returns true if the job is over and this controller remembers how it ended. */
  boolean isOver(String ref) {
    return doneByEndedJob.containsKey(ref);
  }

  /** Returns true if a job that is over is done, false if it was cancelled. */
  boolean isDone(String ref) {
    return doneByEndedJob.get(ref);
  }

  /** The result for a job that exists: the live job, or null and whether it ended as done. */
  record Found(Job job, boolean isDone) {}

  /**
   * Finds a job. Passes to the callback whether the result is known, and the job, which is null if
   * there is none. A final state never changes and is passed at once; everything else only after a
   * read barrier, so that no controller gives an older answer than one already given.
   */
  void find(String ref, BiConsumer<Boolean, Found> callback) {
    if (doneByEndedJob.containsKey(ref)) {
      callback.accept(true, new Found(null, doneByEndedJob.get(ref)));
      return;
    }
    if (!Submission.isValidRef(ref)) {
      callback.accept(true, null);
      return;
    }
    replica.barrier(
        passed -> {
          if (!passed) {
            callback.accept(false, null);
          } else if (replica.stamp(StateKeys.job(ref)) != 0 && ledger.job(ref) != null) {
            callback.accept(true, new Found(ledger.job(ref), false));
          } else {
            findEndedJob(ref, callback);
          }
        });
  }

  private void findEndedJob(String ref, BiConsumer<Boolean, Found> callback) {
    // At the barrier the job was not live: it was over by then, or not yet accepted.
    state.get(
        StateKeys.finishedJob(ref),
        read -> {
          if (!read.known()) {
            callback.accept(false, null);
          } else if (!read.exists()) {
            callback.accept(true, null);
          } else {
            boolean finished = "done".equals(Json.text(read.value(), "status"));
            recordEnd(ref, finished);
            callback.accept(true, new Found(null, finished));
          }
        });
  }
}
