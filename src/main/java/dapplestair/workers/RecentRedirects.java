package dapplestair.workers;

import dapplestair.ports.Clock;
import dapplestair.work.ExpiringLruMap;
import dapplestair.work.Report;

/**
 * The workers that this controller has recently redirected to another one. A worker that reports
 * here again did not receive the redirect, or was not accepted there. A report that is older than
 * the last one is a delayed copy. Neither shows that any controller reaches the worker's zone.
 */
final class RecentRedirects {
  private static final int MAX_WORKERS = 4000;

  private record LastReport(long session, long tick, long redirectedAt) {}

  private final Clock clock;
  private final long retentionMs;
  private final ExpiringLruMap<String, LastReport> lastReports;

  RecentRedirects(Clock clock, long retentionMs) {
    this.clock = clock;
    this.retentionMs = retentionMs;
    this.lastReports =
        new ExpiringLruMap<>(clock, retentionMs, MAX_WORKERS, LastReport::redirectedAt);
  }

  /**
   * Records a report that is not accepted here. Returns true when its worker was already redirected
   * within the last lease, or when the report is a delayed copy.
   */
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
