package dapplestair.state;

import dapplestair.ports.Clock;

/** Paces something to a rate, with bursts worth {@code burstS} seconds. */
public final class TokenBucket {
  private final Clock clock;
  private final double burstS;
  private double ratePerSecond;
  private double tokens;
  private long refilledAtMs;

  /** Starts full. */
  public TokenBucket(Clock clock, double ratePerSecond, double burstS) {
    this.clock = clock;
    this.ratePerSecond = ratePerSecond;
    this.burstS = burstS;
    this.tokens = ratePerSecond * burstS;
    this.refilledAtMs = clock.now();
  }

  /** Changes the rate from now on. */
  public void setRate(double newRatePerSecond) {
    refill();
    ratePerSecond = newRatePerSecond;
  }

  /** How many a second. */
  public double ratePerSecond() {
    return ratePerSecond;
  }

  /** Takes {@code count} if there are that many, or if the bucket is as full as it gets. */
  public boolean take(double count) {
    refill();
    double capacity = Math.max(1, ratePerSecond * burstS);
    if (tokens < Math.min(count, capacity) - 1e-9) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /** Milliseconds until {@code count} can be taken. */
  public long waitMs(double count) {
    refill();
    double required = Math.min(count, Math.max(1, ratePerSecond * burstS));
    return tokens >= required ? 0 : (long) Math.ceil((required - tokens) / ratePerSecond * 1000);
  }

  /** Empties the bucket, after the other side said that it was too much. */
  public void drain() {
    refill();
    tokens = Math.min(tokens, 0);
  }

  private void refill() {
    long nowMs = clock.now();
    tokens =
        Math.min(
            Math.max(1, ratePerSecond * burstS),
            tokens + (nowMs - refilledAtMs) / 1000.0 * ratePerSecond);
    refilledAtMs = nowMs;
  }
}
