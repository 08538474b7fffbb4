package dapplestair.state;

import dapplestair.ports.Clock;

/** Token bucket that limits a rate, with bursts of up to {@code burstS} seconds' worth. */
public final class TokenBucket {
  private final Clock clock;
  private final double burstS;
  private double ratePerSecond;
  private double tokens;
  private long refilledAtMs;

  /** Creates a full bucket. */
  public TokenBucket(Clock clock, double ratePerSecond, double burstS) {
    this.clock = clock;
    this.ratePerSecond = ratePerSecond;
    this.burstS = burstS;
    this.tokens = ratePerSecond * burstS;
    this.refilledAtMs = clock.now();
  }

  /** Sets the rate from now on. */
  public void setRate(double newRatePerSecond) {
    refill();
    ratePerSecond = newRatePerSecond;
  }

  /** Returns the rate in tokens per second. */
  public double ratePerSecond() {
    return ratePerSecond;
  }

  /** Takes {@code count} tokens if available, or if the bucket is full; returns whether it did. */
  public boolean take(double count) {
    refill();
    double capacity = Math.max(1, ratePerSecond * burstS);
    if (tokens < Math.min(count, capacity) - 1e-9) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /** Returns the milliseconds until {@code count} tokens can be taken. */
  public long waitMs(double count) {
    refill();
    double required = Math.min(count, Math.max(1, ratePerSecond * burstS));
    return tokens >= required ? 0 : (long) Math.ceil((required - tokens) / ratePerSecond * 1000);
  }

  /** Empties the bucket, after the server has reported too many requests. */
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
