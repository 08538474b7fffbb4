package dapplestair.work;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map of limited size that drops the entry that was inserted first. An entry that is put again
 * keeps its place.
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;

  private final int maxEntries;

  /** Creates a map that keeps at most {@code maxEntries} entries. */
  public BoundedMap(int maxEntries) {
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
