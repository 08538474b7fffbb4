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

  private final Map<String, Long> zones = new HashMap<>();
  private Map<String, Long> late = Map.of();
  private Set<String> gone = Set.of();
  private long term;
  private long number;
  private long at = NEVER;

  /** An account arrived just now. */
  public void said(LivenessReport livenessReport, long now) {
    // How long the message took is not known: what it says lies further back than it seems here.
    livenessReport.zones().forEach((zone, ago) -> zones.merge(zone, now - ago, Math::max));
    boolean newer =
        livenessReport.term() > term
            || (livenessReport.term() == term && livenessReport.number() > number);
    // Of two accounts by leaders only the newer one counts: a machine that the older one calls
    // late may have been heard since. A term has one leader, so term and number order them all.
    if (livenessReport.term() == 0 || !newer) {
      return;
    }
    term = livenessReport.term();
    number = livenessReport.number();
    at = now;
    Map<String, Long> machines = new HashMap<>();
    livenessReport.late().forEach((id, ago) -> machines.put(id, now - ago));
    late = machines;
    gone = Set.copyOf(livenessReport.gone().keySet());
  }

  /** When anybody said to have heard this zone, or long ago. */
  public long zoneHeardAt(String zone) {
    return zones.getOrDefault(zone, NEVER);
  }

  /**
   * The latest moment at which the leader that spoke last can have heard this machine, or long ago
   * when none spoke.
   */
  public long machineHeardAt(String id) {
    return late.getOrDefault(id, at);
  }

  /** True when the leader that spoke last had a proof that this machine is gone. */
  public boolean saidGone(String id) {
    return gone.contains(id);
  }

  /** When the last leader's account came, or long ago. */
  public long at() {
    return at;
  }
}
