package dapplestair.work;

import dapplestair.ports.Clock;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * A map in the order of the entries' last use. Entries are dropped once they are too old or too
 * many.
 */
public final class ExpiringLruMap<K, V> {
  private final Clock clock;
  private final long maxAgeMs;
  private final int maxEntries;
  private final ToLongFunction<V> lastUsedAt;
  private final Map<K, V> entries = new LinkedHashMap<>();

  /**
   * Creates a map that keeps at most {@code maxEntries} entries, each for {@code maxAgeMs} after
   * its last use.
   */
  public ExpiringLruMap(Clock clock, long maxAgeMs, int maxEntries, ToLongFunction<V> lastUsedAt) {
    this.clock = clock;
    this.maxAgeMs = maxAgeMs;
    this.maxEntries = maxEntries;
    this.lastUsedAt = lastUsedAt;
  }

  /** Removes an entry and returns it, or returns null if there was none. */
  public V remove(K key) {
    return entries.remove(key);
  }

  /** Adds an entry under a key that is not in the map, as the one used last. */
  public void put(K key, V value) {
    removeExpired();
    entries.put(key, value);
  }

  /** Returns the entries that have not expired, the oldest first. */
  public Collection<V> values() {
    removeExpired();
    return entries.values();
  }

  private void removeExpired() {
    long now = clock.now();
    Iterator<V> oldestFirst = entries.values().iterator();
    while (oldestFirst.hasNext()
        && (isExpired(oldestFirst.next(), now) || entries.size() >= maxEntries)) {
      oldestFirst.remove();
    }
  }

  private boolean isExpired(V value, long now) {
    return now - lastUsedAt.applyAsLong(value) > maxAgeMs;
  }
}
