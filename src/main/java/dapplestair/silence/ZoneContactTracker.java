package dapplestair.silence;

import java.util.HashMap;
import java.util.Map;

/**
 * Since when each zone has been heard without a break. Silence of one machine means something only
 * while others of its zone are heard, and not at once after a cut: then all have to be heard anew.
 */
public final class ZoneContactTracker {
  // In a zone of many machines some report at any moment, so that a break shows sooner.
  private static final double FEW = 5;
  private static final double LEAST_GAP = 0.15;

  private static final class ZoneContact {
    long since;
    long last = Long.MIN_VALUE / 2;
  }

  private final long intervalMs;
  private final Map<String, ZoneContact> zones = new HashMap<>();

  /** {@code intervalMs} is the longest time between two reports of a machine. */
  public ZoneContactTracker(long intervalMs) {
    this.intervalMs = intervalMs;
  }

  /** One of the zone's machines was heard. */
  public void heard(String zone, long now, int machines) {
    ZoneContact z = zones.computeIfAbsent(zone, n -> new ZoneContact());
    if (now - z.last > gapMs(machines)) {
      z.since = now;
    }
    z.last = now;
  }

  /** A longer time without any of so many machines is a break. */
  public long gapMs(int machines) {
    return Math.round(intervalMs * Math.max(LEAST_GAP, Math.min(1, FEW / Math.max(1, machines))));
  }

  /** How long the zone has been heard without a break until just now; 0 when it is not heard. */
  public long heardForMs(String zone, long now, int machines) {
    ZoneContact z = zones.get(zone);
    return z == null || now - z.last > gapMs(machines) ? 0 : now - z.since;
  }

  /** When the zone was last heard, or {@link Long#MIN_VALUE} / 2. */
  public long lastHeard(String zone) {
    ZoneContact z = zones.get(zone);
    return z == null ? Long.MIN_VALUE / 2 : z.last;
  }

  /** Forgets all. */
  public void clear() {
    zones.clear();
  }
}
