package dapplestair.workers;

import dapplestair.ports.Clock;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** The machines that are not proved to be gone, and for a while the names of those that are. */
final class Roster {
  private static final int MOST_GONE_REMEMBERED = 4000;

  private final Clock clock;
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Map<String, Long> gone = new LinkedHashMap<>();

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
    return gone.containsKey(id);
  }

  /** Its name is kept, so that a late report or list does not bring it back. */
  void markGone(Host host) {
    host.setGone();
    if (gone.size() >= MOST_GONE_REMEMBERED) {
      gone.clear();
    }
    gone.put(host.id(), clock.now());
  }

  /** How long ago those machines were proved to be gone that were so within {@code ms}. */
  Map<String, Long> goneWithin(long ms) {
    long now = clock.now();
    Map<String, Long> out = new HashMap<>();
    gone.forEach(
        (id, at) -> {
          if (now - at <= ms) {
            out.put(id, now - at);
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
