package dapplestair.workers;

import dapplestair.ports.Clock;
import dapplestair.work.Report;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** The machines that are not proved to be gone, and for a while the names of those that are. */
final class HostRegistry {
  private static final int MAX_REMEMBERED_GONE_HOSTS = 4000;

  private final Clock clock;
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Map<String, GoneHost> goneHosts = new LinkedHashMap<>();

  /** When it was proved to be gone, and its newest report that was heard. */
  private record GoneHost(long goneAt, long session, long tick) {}

  HostRegistry(Clock clock) {
    this.clock = clock;
  }

  Collection<Host> all() {
    return hosts.values();
  }

  /** A machine by name, made known if it was not. */
  Host getOrCreate(String id) {
    return hosts.computeIfAbsent(id, hostId -> new Host(hostId, clock.now()));
  }

  /** A machine by name, or null. */
  Host find(String id) {
    return hosts.get(id);
  }

  boolean isGone(String id) {
    return goneHosts.containsKey(id);
  }

  /** Its name is kept, so that a late report or list does not bring it back. */
  void markGone(Host host) {
    host.markGone();
    if (goneHosts.size() >= MAX_REMEMBERED_GONE_HOSTS) {
      // The oldest: a copy of a report comes late, but not by thousands of machines.
      goneHosts.remove(goneHosts.keySet().iterator().next());
    }
    goneHosts.put(host.id(), new GoneHost(clock.now(), host.session, host.tick));
  }

  /**
   * True when a machine that is gone sent this report after the newest one that was heard of it: a
   * cut has held it back, and is over. A copy of a report that was heard is not newer.
   */
  boolean noteNewerReport(Report report) {
    GoneHost lastKnown = goneHosts.get(report.host());
    boolean isNewer = report.isNewerThan(lastKnown.session(), lastKnown.tick());
    if (isNewer) {
      goneHosts.replace(
          report.host(), new GoneHost(lastKnown.goneAt(), report.session(), report.tick()));
    }
    // Without one that was heard nobody can tell.
    return isNewer && lastKnown.tick() >= 0;
  }

  /** How long ago those machines were proved to be gone that were so within {@code maxAgeMs}. */
  Map<String, Long> goneAgesMs(long maxAgeMs) {
    long now = clock.now();
    Map<String, Long> agesMs = new HashMap<>();
    goneHosts.forEach(
        (id, goneHost) -> {
          if (now - goneHost.goneAt() <= maxAgeMs) {
            agesMs.put(id, now - goneHost.goneAt());
          }
        });
    return agesMs;
  }

  void remove(Host host) {
    hosts.remove(host.id());
  }

  void clear() {
    hosts.clear();
    goneHosts.clear();
  }
}
