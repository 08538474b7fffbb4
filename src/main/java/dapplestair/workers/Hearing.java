package dapplestair.workers;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;

/** Who was heard when, and whether silence means anything. */
final class Hearing {
  // Reports are up to a quarter late; two calls without an answer come on top.
  private static final double OVERDUE = 1.35;
  private static final double SILENT = 1.9;

  private final Clock clock;
  private final Roster roster;
  private final long reportMs;
  private final ZoneWatch zones;
  private final Multiset<String> perZone = HashMultiset.create();
  private long leadingSince;
  private long turnDue;
  private long judgeAgainAt;

  Hearing(Clock clock, Settings settings, Roster roster) {
    this.clock = clock;
    this.roster = roster;
    this.reportMs = settings.workers().reportMs();
    this.zones = new ZoneWatch(Math.round(OVERDUE * reportMs));
  }

  void lead() {
    leadingSince = clock.now();
    turnDue = leadingSince;
    judgeAgainAt = leadingSince + reportMs;
  }

  void clear() {
    zones.clear();
    perZone.clear();
  }

  /** A turn begins; the next one is due {@code everyMs} later. */
  void turn(long everyMs) {
    long now = clock.now();
    if (now - turnDue > reportMs / 6) {
      // This process itself was held up: answers wait unread, so silence proves nothing for now.
      judgeAgainAt = now + 2 * reportMs;
    }
    turnDue = now + everyMs;
    perZone.clear();
    for (Host h : roster.all()) {
      if (h.up()) {
        perZone.add(h.zone());
      }
    }
  }

  /** A machine in this zone was heard just now. */
  void heard(String zone) {
    zones.heard(zone, clock.now(), perZone.count(zone));
  }

  /** True when it has reported lately enough to be worth giving work to. */
  boolean fresh(Host host) {
    return clock.now() - host.heardAt < 2 * reportMs && host.failedCalls == 0;
  }

  /** True when its report is late, so that it should be asked. */
  boolean overdue(Host host) {
    return host.up() && clock.now() - host.heardAt > OVERDUE * reportMs;
  }

  /**
   * True when this machine's zone has been heard without a break for long enough that this machine
   * should have been, too.
   */
  boolean zoneHeard(Host silent) {
    int machines = perZone.count(silent.zone());
    return zones.heardForMs(silent.zone(), clock.now(), machines) > 1.5 * reportMs;
  }

  /** How long nothing was heard of it. */
  long silentMs(Host host) {
    return clock.now() - Math.max(host.heardAt, host.knownSince());
  }

  /** True when it was asked several times and has been silent for a while. */
  boolean silent(Host host) {
    return host.expectedUp()
        && silentMs(host) > SILENT * reportMs
        && host.failedCalls >= 2
        && clock.now() > judgeAgainAt;
  }

  /**
   * True when machines are there, and not one of them was heard for longer than any report takes.
   */
  boolean nobody() {
    long now = clock.now();
    boolean any = false;
    for (Host h : roster.all()) {
      if (now - h.heardAt < SILENT * reportMs) {
        return false;
      }
      any |= h.up();
    }
    return any && now > judgeAgainAt && now - leadingSince > 3 * reportMs;
  }
}
