package dapplestair.emulator;

/** A limit on writes per second, with bursts of one second's worth. */
final class WriteLimit {
  private final double perSecond;
  private double tokens;
  private long refilledAt;

  /** Starts with a full burst. */
  WriteLimit(double perSecond, long now) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.refilledAt = now;
  }

  /** Counts so many writes, unless they exceed the limit. */
  boolean allows(int writes, long now) {
    if (Double.isInfinite(perSecond)) {
      return true;
    }
    tokens = Math.min(perSecond, tokens + (now - refilledAt) / 1000.0 * perSecond);
    refilledAt = now;
    if (tokens < writes) {
      return false;
    }
    tokens -= writes;
    return true;
  }
}
