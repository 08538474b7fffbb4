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
  private static final int MOST_OVER_KEPT = 20_000;

  private final StateClient state;
  private final Replica replica;
  private final Ledger ledger;
  private final Map<String, Boolean> over = new BoundedMap<>(MOST_OVER_KEPT);

  JobFinder(StateClient state, Replica replica, Ledger ledger) {
    this.state = state;
    this.replica = replica;
    this.ledger = ledger;
  }

  /** A job is over for good; {@code done} or cancelled. */
  void ended(String ref, boolean done) {
    over.put(ref, done);
  }

  /** True when it is remembered here how this job ended. */
  boolean over(String ref) {
    return over.containsKey(ref);
  }

  /** True when a job that is over is done, false when it was cancelled. */
  boolean done(String ref) {
    return over.get(ref);
  }

  /** What is known of a job: live, or how it ended. */
  record Found(Job job, boolean done) {}

  /**
   * Finds a job. Final states are known for ever; everything else is told only after a read
   * barrier, so that no controller gives an older answer than one already given.
   */
  void find(String ref, BiConsumer<Boolean, Found> done) {
    if (over.containsKey(ref)) {
      done.accept(true, new Found(null, over.get(ref)));
      return;
    }
    if (!Submission.isValidRef(ref)) {
      done.accept(true, null);
      return;
    }
    replica.barrier(
        passed -> {
          if (!passed) {
            done.accept(false, null);
          } else if (replica.stamp(StateKeys.job(ref)) != 0 && ledger.job(ref) != null) {
            done.accept(true, new Found(ledger.job(ref), false));
          } else {
            findOver(ref, done);
          }
        });
  }

  private void findOver(String ref, BiConsumer<Boolean, Found> done) {
    // Not live as of the barrier: over before now, or never accepted before now.
    state.get(
        StateKeys.finishedJob(ref),
        read -> {
          if (!read.known()) {
            done.accept(false, null);
          } else if (!read.exists()) {
            done.accept(true, null);
          } else {
            boolean finished = "done".equals(Json.text(read.value(), "status"));
            ended(ref, finished);
            done.accept(true, new Found(null, finished));
          }
        });
  }
}
