package dapplestair.state;

import dapplestair.ports.Clock;

/** Paces something to a rate, with bursts worth {@code burstS} seconds. */
public final class TokenBucket {
  private final Clock clock;
  private final double burstS;
  private double perSecond;
  private double tokens;
  private long at;

  /** Starts full. */
  public TokenBucket(Clock clock, double perSecond, double burstS) {
    this.clock = clock;
    this.perSecond = perSecond;
    this.burstS = burstS;
    this.tokens = perSecond * burstS;
    this.at = clock.now();
  }

  /** Changes the rate from now on. */
  public void rate(double newPerSecond) {
    refill();
    perSecond = newPerSecond;
  }

  /** How many a second. */
  public double rate() {
    return perSecond;
  }

  /** Takes {@code n} if there are that many, or if the bucket is as full as it gets. */
  public boolean take(double n) {
    refill();
    double full = Math.max(1, perSecond * burstS);
    if (tokens < Math.min(n, full) - 1e-9) {
      return false;
    }
    tokens -= n;
    return true;
  }

  /** Milliseconds until {@code n} can be taken. */
  public long waitMs(double n) {
    refill();
    double want = Math.min(n, Math.max(1, perSecond * burstS));
    return tokens >= want ? 0 : (long) Math.ceil((want - tokens) / perSecond * 1000);
  }

  /** Empties the bucket, after the other side said that it was too much. */
  public void drain() {
    refill();
    tokens = Math.min(tokens, 0);
  }

  private void refill() {
    long now = clock.now();
    tokens = Math.min(Math.max(1, perSecond * burstS), tokens + (now - at) / 1000.0 * perSecond);
    at = now;
  }
}
