package dapplestair.workers;

import dapplestair.ports.Clock;
import dapplestair.work.Report;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** The machines that are not proved to be gone, and for a while the names of those that are. */
final class HostRegistry {
  private static final int MOST_GONE_REMEMBERED = 4000;

  private final Clock clock;
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Map<String, GoneHost> gone = new LinkedHashMap<>();

  /** When it was proved to be gone, and its newest report that was heard. */
  private record GoneHost(long at, long session, long tick) {}

  HostRegistry(Clock clock) {
    this.clock = clock;
  }

  Collection<Host> all() {
    return hosts.values();
  }

  /** A machine by name, made known if it was not. */
  Host host(String id) {
    return hosts.computeIfAbsent(id, i -> new Host(i, clock.now()));
  }

  /** A machine by name, or null. */
  Host known(String id) {
    return hosts.get(id);
  }

  boolean isGone(String id) {
    return gone.containsKey(id);
  }

  /** Its name is kept, so that a late report or list does not bring it back. */
  void markGone(Host host) {
    host.setGone();
    if (gone.size() >= MOST_GONE_REMEMBERED) {
      // The oldest: a copy of a report comes late, but not by thousands of machines.
      gone.remove(gone.keySet().iterator().next());
    }
    gone.put(host.id(), new GoneHost(clock.now(), host.session, host.tick));
  }

  /**
   * True when a machine that is gone sent this report after the newest one that was heard of it: a
   * cut has held it back, and is over. A copy of a report that was heard is not newer.
   */
  boolean sentSince(Report report) {
    GoneHost last = gone.get(report.host());
    boolean newer = report.after(last.session(), last.tick());
    if (newer) {
      gone.replace(report.host(), new GoneHost(last.at(), report.session(), report.tick()));
    }
    // Without one that was heard nobody can tell.
    return newer && last.tick() >= 0;
  }

  /** How long ago those machines were proved to be gone that were so within {@code ms}. */
  Map<String, Long> goneWithin(long ms) {
    long now = clock.now();
    Map<String, Long> out = new HashMap<>();
    gone.forEach(
        (id, g) -> {
          if (now - g.at() <= ms) {
            out.put(id, now - g.at());
          }
        });
    return out;
  }

  void remove(Host host) {
    hosts.remove(host.id());
  }

  void clear() {
    hosts.clear();
    gone.clear();
  }
}
