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
 * Rents a single machine in a lost zone of which no machine is left. Nobody could be heard there
 * otherwise, so that nobody would know when the zone is back.
 */
final class ZoneProbes {
  private static final Logger LOG = LoggerFactory.getLogger(ZoneProbes.class);

  // The first one as soon as the zone is lost, and the next one half a lease after it if that was
  // given up, since some never boot. Each further one after twice as long: the zone is still cut.
  private static final int FIRST_PAUSE_LEASE_DIVISOR = 2;
  private static final int MAX_PAUSE_LEASES = 8;

  private record Probe(long rentedWallMs, int number) {}

  private static final Probe NONE = new Probe(0, 0);

  private final Clock clock;
  private final Settings settings;
  private final SilenceTimeouts timeouts;
  private final Predicate<String> rentOne;
  private final Map<String, Probe> probes = new HashMap<>();

  /** {@code rentOne} rents one machine in a zone; false when none is to be had there. */
  ZoneProbes(Clock clock, Settings settings, SilenceTimeouts timeouts, Predicate<String> rentOne) {
    this.clock = clock;
    this.settings = settings;
    this.timeouts = timeouts;
    this.rentOne = rentOne;
  }

  void clear() {
    probes.clear();
  }

  /** The zone is cut or lost, and none of its machines is left. */
  void probeIfLost(String zone, ZoneStatus status) {
    long now = clock.wall();
    if (now - status.lastCutWallMs() < timeouts.lostAfterMs(zone)) {
      return;
    }
    Probe last = probes.getOrDefault(zone, NONE);
    if (now - last.rentedWallMs() < pauseMs(last.number())) {
      return;
    }
    if (rentOne.test(zone)) {
      LOG.info("zone {} has no machine left: one is rented to hear when it is back", zone);
      probes.put(zone, new Probe(now, last.number() + 1));
    }
  }

  /** How long after so many the next one is rented. */
  private long pauseMs(int probeCount) {
    long leaseMs = settings.workers().leaseMs();
    if (probeCount == 0) {
      return 0;
    }
    int doublings = Math.min(30, probeCount - 1);
    return Math.min(MAX_PAUSE_LEASES * leaseMs, (leaseMs << doublings) / FIRST_PAUSE_LEASE_DIVISOR);
  }

  /** The zone is heard again. */
  void onHeard(String zone) {
    probes.remove(zone);
  }
}
