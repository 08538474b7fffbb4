package dapplestair.cancellations;

import java.util.List;

/**
 * A job that a user was told is cancelled.
 *
 * @param ref the job
 * @param knownSinceMs when it was learned of here, steady time; at the latest when its user was
 *     told
 * @param locations where its tasks may be, by the records as of the confirmation
 */
public record Cancellation(String ref, long knownSinceMs, List<TaskLocation> locations) {
  /** An attempt on record: a task of the job may be on that machine, in that session. */
  public record TaskLocation(String host, long session, int step, long attempt) {
    /** The name of its task on the wire. */
    public String taskKey(String ref) {
      return ref + "/" + step;
    }
  }
}
