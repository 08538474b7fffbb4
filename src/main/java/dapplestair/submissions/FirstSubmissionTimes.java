package dapplestair.submissions;

import dapplestair.ports.Clock;
import dapplestair.work.BoundedMap;
import java.util.Map;

/**
 * When users first tried to submit jobs that were turned away. Their waits are measured from then,
 * so a job that could not be accepted for a while is older than its record.
 */
final class FirstSubmissionTimes {
  private static final int MOST_KEPT = 10_000;

  // Users repeat a submission for 60 seconds; a try after a longer pause begins anew.
  private static final long KEPT_MS = 75_000;

  private final Clock clock;
  private final Map<String, Long> turnedAway = new BoundedMap<>(MOST_KEPT);

  FirstSubmissionTimes(Clock clock) {
    this.clock = clock;
  }

  /** A submission was turned away now. */
  void turnedAway(String ref) {
    turnedAway.put(ref, at(ref));
  }

  /**
   * Time of day of the first attempt to submit this job, as far as known here: now at the latest.
   */
  long at(String ref) {
    long now = clock.wall();
    Long first = turnedAway.get(ref);
    return first == null || first > now || now - first > KEPT_MS ? now : first;
  }

  /** The job was accepted. */
  void accepted(String ref) {
    turnedAway.remove(ref);
  }
}
