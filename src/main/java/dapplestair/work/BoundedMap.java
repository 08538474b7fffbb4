package dapplestair.work;

import java.util.LinkedHashMap;
import java.util.Map;

/** The entries made last, as many as are kept; one that is put again keeps its place. */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;

  private final int most;

  /** Keeps {@code most} entries. */
  public BoundedMap(int most) {
    this.most = most;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > most;
  }
}
