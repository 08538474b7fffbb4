package dapplestair.state;

/**
 * How long to wait for an answer before it is taken for lost, estimated from the time that answers
 * took lately, as TCP estimates its retransmission time-out (RFC 6298).
 */
final class ResponseTimeout {
  // Weights of the newest sample in the smoothed time and in its variation, and the variations
  // added to the smoothed time, all by RFC 6298.
  private static final double TIME_WEIGHT = 1.0 / 8;
  private static final double VARIATION_WEIGHT = 1.0 / 4;
  private static final int VARIATIONS = 4;

  private final long leastMs;
  private final long mostMs;
  private double smoothedMs = -1;
  private double variationMs;
  private int backoff = 1;

  /** Never less than {@code leastMs} nor more than {@code mostMs}. */
  ResponseTimeout(long leastMs, long mostMs) {
    this.leastMs = leastMs;
    this.mostMs = mostMs;
  }

  /** An answer took this long. */
  void answered(long tookMs) {
    backoff = 1;
    if (smoothedMs < 0) {
      smoothedMs = tookMs;
      variationMs = tookMs / 2.0;
      return;
    }
    double difference = Math.abs(smoothedMs - tookMs);
    variationMs += VARIATION_WEIGHT * (difference - variationMs);
    smoothedMs += TIME_WEIGHT * (tookMs - smoothedMs);
  }

  /** No answer came within the time-out: the next one may take twice as long, and so on. */
  void unanswered() {
    backoff = Math.min(2 * backoff, (int) (mostMs / leastMs) + 1);
  }

  /** How long to wait for the next answer; the longest time before any answer has come. */
  long ms() {
    if (smoothedMs < 0) {
      return mostMs;
    }
    double estimate = Math.max(leastMs, smoothedMs + VARIATIONS * variationMs);
    return Math.round(Math.min(mostMs, backoff * estimate));
  }
}
