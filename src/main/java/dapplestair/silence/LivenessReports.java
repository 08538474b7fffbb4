package dapplestair.silence;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Collects the liveness reports of all controllers, so that a new leader need not count silence
 * from the start of its own term. Each entry is the latest time at which a controller can have
 * heard the zone or machine: a report that arrives late, twice or out of order makes a silence look
 * shorter, never longer.
 */
public final class LivenessReports {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<String, Long> zoneHeardAtMs = new HashMap<>();
  private Map<String, Long> overdueMachineHeardAtMs = Map.of();
  private Set<String> reportedGoneMachines = Set.of();
  private long leaderTerm;
  private long leaderReportNumber;
  private long leaderReportAtMs = NEVER;

  /** Adds a report that arrived at {@code nowMs}. */
  public void add(LivenessReport livenessReport, long nowMs) {
    // The transit time is not known: all that the report states happened earlier than computed
    // here.
    livenessReport
        .zoneAgesMs()
        .forEach((zone, ageMs) -> zoneHeardAtMs.merge(zone, nowMs - ageMs, Math::max));
    boolean isNewer =
        livenessReport.term() > leaderTerm
            || (livenessReport.term() == leaderTerm
                && livenessReport.number() > leaderReportNumber);
    // Of two reports of leaders only the newer one counts: a machine that is overdue in the older
    // one may have been heard since. A term has one leader, so term and number order all reports.
    if (livenessReport.term() == 0 || !isNewer) {
      return;
    }
    leaderTerm = livenessReport.term();
    leaderReportNumber = livenessReport.number();
    leaderReportAtMs = nowMs;
    Map<String, Long> machineHeardAtMs = new HashMap<>();
    livenessReport
        .overdueMachineAgesMs()
        .forEach((id, ageMs) -> machineHeardAtMs.put(id, nowMs - ageMs));
    overdueMachineHeardAtMs = machineHeardAtMs;
    reportedGoneMachines = Set.copyOf(livenessReport.goneMachineAgesMs().keySet());
  }

  /** Returns the latest time at which a controller reported to have heard a zone, or long ago. */
  public long zoneHeardAtMs(String zone) {
    return zoneHeardAtMs.getOrDefault(zone, NEVER);
  }

  /**
   * Returns the latest time at which the leader that reported last can have heard this machine, or
   * a time long ago when no leader has reported.
   */
  public long machineHeardAtMs(String id) {
    return overdueMachineHeardAtMs.getOrDefault(id, leaderReportAtMs);
  }

  /** Returns whether the leader that reported last had a proof that this machine is gone. */
  public boolean isReportedGone(String id) {
    return reportedGoneMachines.contains(id);
  }

  /** Returns when the latest report of a leader arrived, or a time long ago. */
  public long leaderReportAtMs() {
    return leaderReportAtMs;
  }
}
