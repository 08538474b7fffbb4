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
 * Finds jobs by their reference, live or over, with answers that are never older than one given.
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

  /** A job is over for good; {@code isDone} or cancelled. */
  void recordEnd(String ref, boolean done) {
    doneByEndedJob.put(ref, done);
  }

  /** True when it is remembered here how this job ended. */
  boolean isOver(String ref) {
    return doneByEndedJob.containsKey(ref);
  }

  /** True when a job that is over is done, false when it was cancelled. */
  boolean isDone(String ref) {
    return doneByEndedJob.get(ref);
  }

  /** What is known of a job: live, or how it ended. */
  record Found(Job job, boolean isDone) {}

  /**
   * Finds a job. Final states are known for ever; everything else is told only after a read
   * barrier, so that no controller gives an older answer than one already given.
   */
  void find(String ref, BiConsumer<Boolean, Found> callback) {
    if (doneByEndedJob.containsKey(ref)) {
      callback.accept(true, new Found(null, doneByEndedJob.get(ref)));
      return;
    }
    if (!Submission.validRef(ref)) {
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
    // Not live as of the barrier: over before now, or never accepted before now.
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
