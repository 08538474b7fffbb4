package dapplestair.workers;

import dapplestair.ports.Clock;
import dapplestair.work.Report;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** The machines that are not proved to be gone, and the names of those that recently were. */
final class HostRegistry {
  private static final int MAX_REMEMBERED_GONE_HOSTS = 4000;

  private final Clock clock;
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Map<String, GoneHost> goneHosts = new LinkedHashMap<>();

  /** When a machine was proved to be gone, and its newest report that was received. */
  private record GoneHost(long goneAt, long session, long tick) {}

  HostRegistry(Clock clock) {
    this.clock = clock;
  }

  Collection<Host> all() {
    return hosts.values();
  }

  /** Returns a machine by name, and adds it if it is not known yet. */
  Host getOrCreate(String id) {
    return hosts.computeIfAbsent(id, hostId -> new Host(hostId, clock.now()));
  }

  /** Returns a machine by name, or null if it is not known. */
  Host find(String id) {
    return hosts.get(id);
  }

  boolean isGone(String id) {
    return goneHosts.containsKey(id);
  }

  /**
   * Marks a machine as gone. Its name is kept, so that a delayed report or list doesn't add it
   * again.
   */
  void markGone(Host host) {
    host.markGone();
    if (goneHosts.size() >= MAX_REMEMBERED_GONE_HOSTS) {
      // Forgets the oldest one. A copy of a report may be delayed, but not until thousands of other
      // machines are gone.
      goneHosts.remove(goneHosts.keySet().iterator().next());
    }
    goneHosts.put(host.id(), new GoneHost(clock.now(), host.session, host.tick));
  }

  /**
   * Records a report of a machine that is gone. Returns true when the machine sent it after the
   * newest report that was received from it: a network cut delayed the report, and is over. A copy
   * of a report that was received is not newer.
   */
  boolean noteNewerReport(Report report) {
    GoneHost lastKnown = goneHosts.get(report.host());
    boolean isNewer = report.isNewerThan(lastKnown.session(), lastKnown.tick());
    if (isNewer) {
      goneHosts.replace(
          report.host(), new GoneHost(lastKnown.goneAt(), report.session(), report.tick()));
    }
    // If no report was received before, this one may be a copy as well.
    return isNewer && lastKnown.tick() >= 0;
  }

  /**
   * Returns the machines that were proved to be gone within the last {@code maxAgeMs}, with how
   * long ago that was.
   */
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
