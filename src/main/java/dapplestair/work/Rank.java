package dapplestair.work;

/** A job's priority, highest first. */
public enum Rank {
  /** Before all other work. */
  CRITICAL,
  /** Before work of standard rank. */
  HIGH,
  /** Ordinary work. */
  STANDARD,
  /** Whenever there is free capacity. */
  LOW;

  /** Returns the rank with this name on the wire, or null. */
  public static Rank fromWire(String wireName) {
    for (Rank rank : values()) {
      if (rank.wireName().equals(wireName)) {
        return rank;
      }
    }
    return null;
  }

  /** Returns the name of this rank on the wire. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }

  /** Returns true when work of this rank may take the capacity of work of the other rank. */
  public boolean outranks(Rank other) {
    return ordinal() < other.ordinal();
  }
}
