package dapplestair.work;

/** A job's priority, highest first. */
public enum Rank {
  /** Before everything. */
  CRITICAL,
  /** Before ordinary work. */
  HIGH,
  /** Ordinary work. */
  STANDARD,
  /** Whenever there is room. */
  LOW;

  /** The rank of this word, or null. */
  public static Rank fromWire(String wireName) {
    for (Rank rank : values()) {
      if (rank.wireName().equals(wireName)) {
        return rank;
      }
    }
    return null;
  }

  /** The word on the wire. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }

  /** True when this one may take the other's room. */
  public boolean outranks(Rank other) {
    return ordinal() < other.ordinal();
  }
}
