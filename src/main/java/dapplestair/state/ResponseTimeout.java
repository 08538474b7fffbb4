package dapplestair.state;

/**
 * Estimates how long to wait for a response before it is considered lost. The estimate is based on
 * recent response times, as TCP computes its retransmission timeout (RFC 6298).
 */
final class ResponseTimeout {
  // Weights of the newest sample in the smoothed time and in its variation, and the multiple of the
  // variation that is added to the smoothed time, all as in RFC 6298.
  private static final double SMOOTHING_WEIGHT = 1.0 / 8;
  private static final double VARIATION_WEIGHT = 1.0 / 4;
  private static final int VARIATION_FACTOR = 4;

  private final long minMs;
  private final long maxMs;
  private double smoothedMs = -1;
  private double variationMs;
  private int backoffFactor = 1;

  /** Creates an estimate that stays between {@code minMs} and {@code maxMs}. */
  ResponseTimeout(long minMs, long maxMs) {
    this.minMs = minMs;
    this.maxMs = maxMs;
  }

  /** Records the duration of a response and ends the backoff. */
  void recordResponse(long durationMs) {
    backoffFactor = 1;
    if (smoothedMs < 0) {
      smoothedMs = durationMs;
      variationMs = durationMs / 2.0;
      return;
    }
    double differenceMs = Math.abs(smoothedMs - durationMs);
    variationMs += VARIATION_WEIGHT * (differenceMs - variationMs);
    smoothedMs += SMOOTHING_WEIGHT * (durationMs - smoothedMs);
  }

  /** Doubles the timeout, since no response came within it. */
  void recordTimeout() {
    backoffFactor = Math.min(2 * backoffFactor, (int) (maxMs / minMs) + 1);
  }

  /** Returns how long to wait for the next response: the maximum until a first one has come. */
  long timeoutMs() {
    if (smoothedMs < 0) {
      return maxMs;
    }
    double estimateMs = Math.max(minMs, smoothedMs + VARIATION_FACTOR * variationMs);
    return Math.round(Math.min(maxMs, backoffFactor * estimateMs));
  }
}
