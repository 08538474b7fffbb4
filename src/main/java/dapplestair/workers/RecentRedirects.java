package dapplestair.workers;

import dapplestair.ports.Clock;
import dapplestair.work.ExpiringLruMap;
import dapplestair.work.Report;

/**
 * Workers that this controller has lately sent on to another one. One that comes again did not get
 * the answer, or was not taken there; an older report than the last is a copy that comes late.
 * Neither says that anybody reaches its zone.
 */
final class RecentRedirects {
  private static final int MOST_KEPT = 4000;

  private record Last(long session, long tick, long at) {}

  private final Clock clock;
  private final long keptMs;
  private final ExpiringLruMap<String, Last> workers;

  RecentRedirects(Clock clock, long keptMs) {
    this.clock = clock;
    this.keptMs = keptMs;
    this.workers = new ExpiringLruMap<>(clock, keptMs, MOST_KEPT, Last::at);
  }

  /** Notes a report that is not taken here; true when its worker was sent on within a lease. */
  boolean again(Report report) {
    long now = clock.now();
    Last last = workers.remove(report.host());
    boolean newer = last == null || report.after(last.session(), last.tick());
    workers.put(report.host(), newer ? new Last(report.session(), report.tick(), now) : last);
    return last != null && (!newer || now - last.at() <= keptMs);
  }
}
