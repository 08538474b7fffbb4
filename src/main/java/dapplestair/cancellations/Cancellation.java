package dapplestair.cancellations;

import java.util.List;

/**
 * A job that a user was told is cancelled.
 *
 * @param ref the job
 * @param at when it was learned of here, steady time; at the latest when its user was told
 * @param places where its tasks may be, by the records as of the confirmation
 */
public record Cancellation(String ref, long at, List<TaskLocation> places) {
  /** An attempt on record: a task of the job may be on that machine, in that session. */
  public record TaskLocation(String host, long session, int step, long number) {
    /** The name of its task on the wire. */
    public String key(String ref) {
      return ref + "/" + step;
    }
  }
}
