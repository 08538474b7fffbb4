package dapplestair.silence;

import java.util.HashMap;
import java.util.Map;

/**
 * Since when each zone has been heard without a break. Silence of one machine means something only
 * while others of its zone are heard, and not at once after a cut: then all have to be heard anew.
 */
public final class ZoneContactTracker {
  // In a zone of many machines some report at any moment, so that a break shows sooner.
  private static final double FULL_INTERVAL_MACHINES = 5;
  private static final double MIN_GAP_FRACTION = 0.15;

  private static final class ZoneContact {
    long heardSinceMs;
    long lastHeardMs = Long.MIN_VALUE / 2;
  }

  private final long intervalMs;
  private final Map<String, ZoneContact> zones = new HashMap<>();

  /** {@code intervalMs} is the longest time between two reports of a machine. */
  public ZoneContactTracker(long intervalMs) {
    this.intervalMs = intervalMs;
  }

  /** One of the zone's machines was heard. */
  public void recordHeard(String zone, long nowMs, int machines) {
    ZoneContact contact = zones.computeIfAbsent(zone, n -> new ZoneContact());
    if (nowMs - contact.lastHeardMs > maxGapMs(machines)) {
      contact.heardSinceMs = nowMs;
    }
    contact.lastHeardMs = nowMs;
  }

  /** A longer time without any of so many machines is a break. */
  public long maxGapMs(int machines) {
    return Math.round(
        intervalMs
            * Math.max(
                MIN_GAP_FRACTION, Math.min(1, FULL_INTERVAL_MACHINES / Math.max(1, machines))));
  }

  /** How long the zone has been heard without a break until just now; 0 when it is not heard. */
  public long heardForMs(String zone, long nowMs, int machines) {
    ZoneContact contact = zones.get(zone);
    return contact == null || nowMs - contact.lastHeardMs > maxGapMs(machines)
        ? 0
        : nowMs - contact.heardSinceMs;
  }

  /** When the zone was last heard, or {@link Long#MIN_VALUE} / 2. */
  public long lastHeardMs(String zone) {
    ZoneContact contact = zones.get(zone);
    return contact == null ? Long.MIN_VALUE / 2 : contact.lastHeardMs;
  }

  /** Forgets all. */
  public void clear() {
    zones.clear();
  }
}
