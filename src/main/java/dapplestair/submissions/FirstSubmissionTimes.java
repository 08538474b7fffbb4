package dapplestair.submissions;

import dapplestair.ports.Clock;
import dapplestair.work.BoundedMap;
import java.util.Map;

/**
 * When users first tried to submit jobs that were turned away. Their waits are measured from then,
 * so a job that could not be accepted for a while is older than its record.
 */
final class FirstSubmissionTimes {
  private static final int MAX_JOBS = 10_000;

  // Users repeat a submission for 60 seconds; a try after a longer pause begins anew.
  private static final long MAX_AGE_MS = 75_000;

  private final Clock clock;
  private final Map<String, Long> firstAttemptMsByJob = new BoundedMap<>(MAX_JOBS);

  FirstSubmissionTimes(Clock clock) {
    this.clock = clock;
  }

  /** A submission was turned away now. */
  void recordDeferred(String ref) {
    firstAttemptMsByJob.put(ref, firstAttemptMs(ref));
  }

  /**
   * Time of day of the first attempt to submit this job, as far as known here: now at the latest.
   */
  long firstAttemptMs(String ref) {
    long nowMs = clock.wall();
    Long firstMs = firstAttemptMsByJob.get(ref);
    return firstMs == null || firstMs > nowMs || nowMs - firstMs > MAX_AGE_MS ? nowMs : firstMs;
  }

  /** The job was accepted. */
  void removeAccepted(String ref) {
    firstAttemptMsByJob.remove(ref);
  }
}
