package dapplestair.ledger;

import dapplestair.work.Report;
import java.util.function.Predicate;

/**
 * How many of a job's tasks are out. Derived from the attempts on record and from what is heard of
 * them, so that every leader comes to it by itself, and never to less than is true: whatever is not
 * known to run counts as out, unless it is known never to have run.
 *
 * @param missing tasks that are neither done nor known to run
 * @param disrupted those among them that may have run before
 * @param stopping those among them that are being stopped
 */
public record UnavailableTasks(int missing, int disrupted, int stopping) {
  static UnavailableTasks of(Job job, Predicate<Attempt> isReachable) {
    int running = 0;
    int disrupted = 0;
    int stopping = 0;
    int done = 0;
    for (Chunk chunk : job.chunks.values()) {
      done += chunk.completedSteps.cardinality();
      int starting = 0;
      int completed = 0;
      for (Attempt attempt : chunk.attemptsByStep.values()) {
        if (attempt.done) {
          completed++;
        } else if (attempt.halting) {
          stopping++;
        } else if (!attempt.seenRunning && !attempt.adopted) {
          starting++;
        } else if (isRunning(attempt) && isReachable.test(attempt)) {
          running++;
        } else {
          disrupted++;
        }
      }
      disrupted += chunk.maxInterruptedWaiting(starting + completed);
    }
    return new UnavailableTasks(
        job.spec().steps() - done - running, disrupted + stopping, stopping);
  }

  private static boolean isRunning(Attempt attempt) {
    return attempt.status == Report.Status.RUNNING && !attempt.exited;
  }
}
