package dapplestair.submissions;

import dapplestair.ports.Clock;
import dapplestair.work.ExpiringLruMap;

/**
 * Jobs about which this controller was asked in vain, and for how long. Users ask again every few
 * seconds, and may ask another controller: one that is asked here no more is forgotten here.
 */
final class UnansweredRequests {
  private static final int MOST_KEPT = 10_000;

  private record Asked(long since, long last) {}

  private final Clock clock;
  private final ExpiringLruMap<String, Asked> jobs;

  /** One that was not asked again for {@code keptMs} does not count any more. */
  UnansweredRequests(Clock clock, long keptMs) {
    this.clock = clock;
    this.jobs = new ExpiringLruMap<>(clock, keptMs, MOST_KEPT, Asked::last);
  }

  /** A question about this job could not be answered. */
  void inVain(String ref) {
    long now = clock.now();
    Asked before = jobs.remove(ref);
    jobs.put(ref, new Asked(before == null ? now : before.since(), now));
  }

  /** A question about this job was answered. */
  void answered(String ref) {
    jobs.remove(ref);
  }

  /** For how long at the most a job that is still asked about has had no answer here. */
  long longestMs() {
    long now = clock.now();
    return jobs.values().stream().mapToLong(a -> now - a.since()).max().orElse(0);
  }
}
