package dapplestair.zones;

import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.silence.SilenceTimeouts;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents a single machine as a probe in a lost zone that has no machine left. Without it, nothing
 * could be heard there and the return of the zone would go unnoticed.
 */
final class ZoneProbes {
  private static final Logger LOG = LoggerFactory.getLogger(ZoneProbes.class);

  // The first probe is rented as soon as the zone is lost. If it is given up, the next one follows
  // half a lease after it, since some machines never boot. Each further pause is twice as long,
  // since the zone is then still cut.
  private static final int FIRST_PAUSE_LEASE_DIVISOR = 2;
  private static final int MAX_PAUSE_LEASES = 8;

  private record Probe(long rentedWallMs, int number) {}

  private static final Probe NONE = new Probe(0, 0);

  private final Clock clock;
  private final Settings settings;
  private final SilenceTimeouts timeouts;
  private final Predicate<String> rentOne;
  private final Map<String, Probe> probes = new HashMap<>();

  /**
   * Creates an empty set. {@code rentOne} rents a machine in a zone; false if the cloud has none.
   */
  ZoneProbes(Clock clock, Settings settings, SilenceTimeouts timeouts, Predicate<String> rentOne) {
    this.clock = clock;
    this.settings = settings;
    this.timeouts = timeouts;
    this.rentOne = rentOne;
  }

  void clear() {
    probes.clear();
  }

  /** Rents a probe, if one is due, in a cut or lost zone that has no machine left. */
  void probeIfLost(String zone, ZoneStatus status) {
    long nowWallMs = clock.wall();
    if (nowWallMs - status.lastCutWallMs() < timeouts.lostAfterMs(zone)) {
      return;
    }
    Probe last = probes.getOrDefault(zone, NONE);
    if (nowWallMs - last.rentedWallMs() < pauseMs(last.number())) {
      return;
    }
    if (rentOne.test(zone)) {
      LOG.info("zone {} has no machine left: renting one to detect when the zone is back", zone);
      probes.put(zone, new Probe(nowWallMs, last.number() + 1));
    }
  }

  /** Returns the pause before the next probe, after {@code probeCount} probes. */
  private long pauseMs(int probeCount) {
    long leaseMs = settings.workers().leaseMs();
    if (probeCount == 0) {
      return 0;
    }
    int doublings = Math.min(30, probeCount - 1);
    return Math.min(MAX_PAUSE_LEASES * leaseMs, (leaseMs << doublings) / FIRST_PAUSE_LEASE_DIVISOR);
  }

  /** Resets the probes of a zone that is heard again. */
  void onHeard(String zone) {
    probes.remove(zone);
  }
}
