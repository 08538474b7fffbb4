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
  static UnavailableTasks of(Job job, Predicate<Attempt> reached) {
    int in = 0;
    int disrupted = 0;
    int stopping = 0;
    int done = 0;
    for (Chunk chunk : job.chunks.values()) {
      done += chunk.done.cardinality();
      int starting = 0;
      int ended = 0;
      for (Attempt attempt : chunk.live.values()) {
        if (attempt.done) {
          ended++;
        } else if (attempt.halting) {
          stopping++;
        } else if (!attempt.began && !attempt.adopted) {
          starting++;
        } else if (runs(attempt) && reached.test(attempt)) {
          in++;
        } else {
          disrupted++;
        }
      }
      disrupted += chunk.awaitedAgain(starting + ended);
    }
    return new UnavailableTasks(job.spec().taskCount() - done - in, disrupted + stopping, stopping);
  }

  private static boolean runs(Attempt attempt) {
    return attempt.status == Report.Status.RUNNING && !attempt.exited;
  }
}
