package dapplestair.workers;

import dapplestair.ports.Clock;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The machines that are not proved to be gone, and for a while the names of those that are. */
final class Roster {
  private static final int MOST_GONE_REMEMBERED = 4000;

  private final Clock clock;
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Set<String> gone = new HashSet<>();

  Roster(Clock clock) {
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
    return gone.contains(id);
  }

  /** Its name is kept, so that a late report or list does not bring it back. */
  void markGone(Host host) {
    host.setGone();
    if (gone.size() >= MOST_GONE_REMEMBERED) {
      gone.clear();
    }
    gone.add(host.id());
  }

  void remove(Host host) {
    hosts.remove(host.id());
  }

  void clear() {
    hosts.clear();
    gone.clear();
  }
}
