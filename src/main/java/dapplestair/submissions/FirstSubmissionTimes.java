package dapplestair.submissions;

import dapplestair.ports.Clock;
import dapplestair.work.BoundedMap;
import java.util.Map;

/**
 * Remembers when users first tried to submit jobs that were deferred. The wait of such a job is
 * measured from then, so a job that could not be accepted for a while is older than its record.
 */
final class FirstSubmissionTimes {
  private static final int MAX_JOBS = 10_000;

  // Users repeat a submission for 60 seconds; an attempt after a longer pause counts as the first.
  private static final long MAX_AGE_MS = 75_000;

  private final Clock clock;
  private final Map<String, Long> firstAttemptMsByJob = new BoundedMap<>(MAX_JOBS);

  FirstSubmissionTimes(Clock clock) {
    this.clock = clock;
  }

  /** Records that a submission is deferred now. */
  void recordDeferred(String ref) {
    firstAttemptMsByJob.put(ref, firstAttemptMs(ref));
  }

  /**
   * Returns the wall-clock time of the first attempt to submit this job that is known here, or the
   * current time if none is known.
   */
  long firstAttemptMs(String ref) {
    long nowMs = clock.wall();
    Long firstMs = firstAttemptMsByJob.get(ref);
    return firstMs == null || firstMs > nowMs || nowMs - firstMs > MAX_AGE_MS ? nowMs : firstMs;
  }

  /** Removes a job that was accepted. */
  void removeAccepted(String ref) {
    firstAttemptMsByJob.remove(ref);
  }
}
