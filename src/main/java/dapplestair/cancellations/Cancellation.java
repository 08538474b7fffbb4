package dapplestair.cancellations;

import java.util.List;

/**
 * A job whose cancellation was confirmed to a user.
 *
 * @param ref the job
 * @param knownSinceMs when this controller learned of the cancellation, on the steady clock; not
 *     later than the confirmation to the user
 * @param locations where tasks of the job may be, according to the records at the time of the
 *     confirmation
 */
public record Cancellation(String ref, long knownSinceMs, List<TaskLocation> locations) {
  /**
   * A recorded attempt: a task of the job may be on this machine, in this session of its worker.
   */
  public record TaskLocation(String host, long session, int step, long attempt) {
    /** Returns the name of the task on the wire. */
    public String taskKey(String ref) {
      return ref + "/" + step;
    }
  }
}
