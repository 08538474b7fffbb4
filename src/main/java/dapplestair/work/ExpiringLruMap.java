package dapplestair.work;

import dapplestair.ports.Clock;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToLongFunction;

/** Entries in the order of their last use, dropped once they are too old or too many. */
public final class ExpiringLruMap<K, V> {
  private final Clock clock;
  private final long keptMs;
  private final int most;
  private final ToLongFunction<V> usedAt;
  private final Map<K, V> entries = new LinkedHashMap<>();

  /** Keeps {@code most} entries at the most, each for {@code keptMs} after its last use. */
  public ExpiringLruMap(Clock clock, long keptMs, int most, ToLongFunction<V> usedAt) {
    this.clock = clock;
    this.keptMs = keptMs;
    this.most = most;
    this.usedAt = usedAt;
  }

  /** Takes an entry out; null if there was none. */
  public V remove(K key) {
    return entries.remove(key);
  }

  /** Puts an entry that is not there, as the one used last. */
  public void put(K key, V value) {
    dropOldest();
    entries.put(key, value);
  }

  /** What is kept now, the oldest first. */
  public Collection<V> values() {
    dropOldest();
    return entries.values();
  }

  private void dropOldest() {
    long now = clock.now();
    Iterator<V> oldest = entries.values().iterator();
    while (oldest.hasNext() && (isOld(oldest.next(), now) || entries.size() >= most)) {
      oldest.remove();
    }
  }

  private boolean isOld(V value, long now) {
    return now - usedAt.applyAsLong(value) > keptMs;
  }
}
