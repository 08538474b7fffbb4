package dapplestair.submissions;

import dapplestair.ports.Clock;
import dapplestair.work.ExpiringLruMap;

/**
 * Tracks the jobs about which this controller could not answer requests, and for how long. Users
 * repeat a request every few seconds, possibly to another controller. A job that is no longer asked
 * about here is therefore dropped.
 */
final class UnansweredRequests {
  private static final int MAX_JOBS = 10_000;

  private record UnansweredPeriod(long sinceMs, long lastAskedAtMs) {}

  private final Clock clock;
  private final ExpiringLruMap<String, UnansweredPeriod> periodsByJob;

  /** Creates a tracker that drops a job after {@code retentionMs} without another request. */
  UnansweredRequests(Clock clock, long retentionMs) {
    this.clock = clock;
    this.periodsByJob =
        new ExpiringLruMap<>(clock, retentionMs, MAX_JOBS, UnansweredPeriod::lastAskedAtMs);
  }

  /** Records that a request about this job could not be answered. */
  void recordUnanswered(String ref) {
    long nowMs = clock.now();
    UnansweredPeriod previous = periodsByJob.remove(ref);
    periodsByJob.put(
        ref, new UnansweredPeriod(previous == null ? nowMs : previous.sinceMs(), nowMs));
  }

  /** Records that a request about this job was answered. */
  void recordAnswered(String ref) {
    periodsByJob.remove(ref);
  }

  /** Returns the longest time, in milliseconds, that a tracked job has been without an answer. */
  long longestMs() {
    long nowMs = clock.now();
    return periodsByJob.values().stream()
        .mapToLong(period -> nowMs - period.sinceMs())
        .max()
        .orElse(0);
  }
}
