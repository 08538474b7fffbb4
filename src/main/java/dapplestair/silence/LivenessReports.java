package dapplestair.silence;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What all controllers said of whom they heard, so that a new leader need not begin to count
 * silence at its own beginning. Each entry is the latest moment at which anybody can have heard: an
 * account that comes late, twice or out of order makes a silence look shorter, never longer.
 */
public final class LivenessReports {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<String, Long> zoneHeardAtMs = new HashMap<>();
  private Map<String, Long> overdueMachineHeardAtMs = Map.of();
  private Set<String> reportedGoneMachines = Set.of();
  private long leaderTerm;
  private long leaderReportNumber;
  private long leaderReportAtMs = NEVER;

  /** An account arrived just now. */
  public void add(LivenessReport livenessReport, long nowMs) {
    // How long the message took is not known: what it says lies further back than it seems here.
    livenessReport
        .zoneAgesMs()
        .forEach((zone, ageMs) -> zoneHeardAtMs.merge(zone, nowMs - ageMs, Math::max));
    boolean isNewer =
        livenessReport.term() > leaderTerm
            || (livenessReport.term() == leaderTerm
                && livenessReport.number() > leaderReportNumber);
    // Of two accounts by leaders only the newer one counts: a machine that the older one calls
    // late may have been heard since. A term has one leader, so term and number order them all.
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

  /** When anybody said to have heard this zone, or long ago. */
  public long zoneHeardAtMs(String zone) {
    return zoneHeardAtMs.getOrDefault(zone, NEVER);
  }

  /**
   * The latest moment at which the leader that spoke last can have heard this machine, or long ago
   * when none spoke.
   */
  public long machineHeardAtMs(String id) {
    return overdueMachineHeardAtMs.getOrDefault(id, leaderReportAtMs);
  }

  /** True when the leader that spoke last had a proof that this machine is gone. */
  public boolean isReportedGone(String id) {
    return reportedGoneMachines.contains(id);
  }

  /** When the last leader's account came, or long ago. */
  public long leaderReportAtMs() {
    return leaderReportAtMs;
  }
}
