package dapplestair.work;

import java.util.LinkedHashMap;
import java.util.Map;

/** The entries made last, as many as are kept; one that is put again keeps its place. */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;

  private final int maxEntries;

  /** Keeps {@code maxEntries} entries. */
  public BoundedMap(int most) {
    this.maxEntries = most;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
