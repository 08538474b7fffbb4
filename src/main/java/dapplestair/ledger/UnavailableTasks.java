package dapplestair.ledger;

import dapplestair.work.Report;
import java.util.function.Predicate;

/**
 * Counts a job's unavailable tasks. The counts are derived from the attempts on record and from
 * what is heard of them, so that every leader computes them by itself, and never too low: a task
 * that is not known to run counts as disrupted, unless it is known never to have run.
 *
 * @param missing tasks that are neither done nor known to run
 * @param disrupted missing tasks that may have run before
 * @param stopping disrupted tasks that are being stopped
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
        job.spec().taskCount() - done - running, disrupted + stopping, stopping);
  }

  private static boolean isRunning(Attempt attempt) {
    return attempt.status == Report.Status.RUNNING && !attempt.exited;
  }
}
