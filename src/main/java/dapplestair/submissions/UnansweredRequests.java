package dapplestair.submissions;

import dapplestair.ports.Clock;
import dapplestair.work.ExpiringLruMap;

/**
 * Jobs about which this controller was asked in vain, and for how long. Users ask again every few
 * seconds, and may ask another controller: one that is asked here no more is forgotten here.
 */
final class UnansweredRequests {
  private static final int MAX_JOBS = 10_000;

  private record UnansweredPeriod(long sinceMs, long lastAskedAtMs) {}

  private final Clock clock;
  private final ExpiringLruMap<String, UnansweredPeriod> periodsByJob;

  /** One that was not asked again for {@code retentionMs} does not count any more. */
  UnansweredRequests(Clock clock, long retentionMs) {
    this.clock = clock;
    this.periodsByJob =
        new ExpiringLruMap<>(clock, retentionMs, MAX_JOBS, UnansweredPeriod::lastAskedAtMs);
  }

  /** A question about this job could not be answered. */
  void recordUnanswered(String ref) {
    long nowMs = clock.now();
    UnansweredPeriod previous = periodsByJob.remove(ref);
    periodsByJob.put(
        ref, new UnansweredPeriod(previous == null ? nowMs : previous.sinceMs(), nowMs));
  }

  /** A question about this job was answered. */
  void recordAnswered(String ref) {
    periodsByJob.remove(ref);
  }

  /** For how long at the most a job that is still asked about has had no answer here. */
  long longestMs() {
    long nowMs = clock.now();
    return periodsByJob.values().stream()
        .mapToLong(period -> nowMs - period.sinceMs())
        .max()
        .orElse(0);
  }
}
