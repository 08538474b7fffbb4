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
  private static final int MAX_WORKERS = 4000;

  private record LastReport(long session, long tick, long redirectedAt) {}

  private final Clock clock;
  private final long retentionMs;
  private final ExpiringLruMap<String, LastReport> lastReports;

  RecentRedirects(Clock clock, long keptMs) {
    this.clock = clock;
    this.retentionMs = keptMs;
    this.lastReports = new ExpiringLruMap<>(clock, keptMs, MAX_WORKERS, LastReport::redirectedAt);
  }

  /** Notes a report that is not taken here; true when its worker was sent on within a lease. */
  boolean recordReport(Report report) {
    long now = clock.now();
    LastReport lastReport = lastReports.remove(report.host());
    boolean isNewer =
        lastReport == null || report.isNewerThan(lastReport.session(), lastReport.tick());
    lastReports.put(
        report.host(), isNewer ? new LastReport(report.session(), report.tick(), now) : lastReport);
    return lastReport != null && (!isNewer || now - lastReport.redirectedAt() <= retentionMs);
  }
}
