package dapplestair.silence;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks since when each zone has been heard without a break. The silence of one machine is
 * meaningful only while other machines of its zone are heard, and not immediately after a cut, when
 * all machines of the zone have yet to be heard again.
 */
public final class ZoneContactTracker {
  // Up to this number of machines, a break is a whole interval without a report. In a zone of more
  // machines some report at any moment, so that a shorter gap shows a break.
  private static final double FULL_INTERVAL_MACHINES = 5;
  // Lower limit of that gap, as a fraction of the interval.
  private static final double MIN_GAP_FRACTION = 0.15;

  private static final class ZoneContact {
    long heardSinceMs;
    long lastHeardMs = Long.MIN_VALUE / 2;
  }

  private final long intervalMs;
  private final Map<String, ZoneContact> zones = new HashMap<>();

  /** Creates a tracker; {@code intervalMs} is the longest time between two reports of a machine. */
  public ZoneContactTracker(long intervalMs) {
    this.intervalMs = intervalMs;
  }

  /** Records that one of the zone's machines was heard. */
  public void recordHeard(String zone, long nowMs, int machines) {
    ZoneContact contact = zones.computeIfAbsent(zone, n -> new ZoneContact());
    if (nowMs - contact.lastHeardMs > maxGapMs(machines)) {
      contact.heardSinceMs = nowMs;
    }
    contact.lastHeardMs = nowMs;
  }

  /** Returns the longest time without a report that is no break in a zone of so many machines. */
  public long maxGapMs(int machines) {
    return Math.round(
        intervalMs
            * Math.max(
                MIN_GAP_FRACTION, Math.min(1, FULL_INTERVAL_MACHINES / Math.max(1, machines))));
  }

  /** Returns how long the zone has been heard without a break, or 0 when it is not heard now. */
  public long heardForMs(String zone, long nowMs, int machines) {
    ZoneContact contact = zones.get(zone);
    return contact == null || nowMs - contact.lastHeardMs > maxGapMs(machines)
        ? 0
        : nowMs - contact.heardSinceMs;
  }

  /** Returns when the zone was last heard, or {@link Long#MIN_VALUE} / 2 if it never was. */
  public long lastHeardMs(String zone) {
    ZoneContact contact = zones.get(zone);
    return contact == null ? Long.MIN_VALUE / 2 : contact.lastHeardMs;
  }

  /** Removes all zones. */
  public void clear() {
    zones.clear();
  }
}
