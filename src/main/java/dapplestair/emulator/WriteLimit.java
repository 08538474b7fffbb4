package dapplestair.emulator;

/** A limit on writes per second, with bursts of one second's worth. */
final class WriteLimit {
  private final double writesPerSecond;
  private double tokens;
  private long refilledAtMs;

  /** Starts with a full burst. */
  WriteLimit(double perSecond, long now) {
    this.writesPerSecond = perSecond;
    this.tokens = perSecond;
    this.refilledAtMs = now;
  }

  /** Counts so many writes, unless they exceed the limit. */
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
