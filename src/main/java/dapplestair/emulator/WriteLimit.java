package dapplestair.emulator;

/** A token bucket that limits writes per second, with bursts of one second's worth. */
final class WriteLimit {
  private final double writesPerSecond;
  private double tokens;
  private long refilledAtMs;

  /** Creates a full bucket. */
  WriteLimit(double perSecond, long now) {
    this.writesPerSecond = perSecond;
    this.tokens = perSecond;
    this.refilledAtMs = now;
  }

  /** Counts this many writes and returns true, or returns false if they exceed the limit. */
  boolean tryAcquire(int writes, long now) {
    if (Double.isInfinite(writesPerSecond)) {
      return true;
    }
    tokens = Math.min(writesPerSecond, tokens + (now - refilledAtMs) / 1000.0 * writesPerSecond);
    refilledAtMs = now;
    if (tokens < writes) {
      return false;
    }
    tokens -= writes;
    return true;
  }
}
