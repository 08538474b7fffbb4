package dapplestair.state;

/**
 * How long to wait for an answer before it is taken for lost, estimated from the time that answers
 * took lately, as TCP estimates its retransmission time-out (RFC 6298).
 */
final class ResponseTimeout {
  // Weights of the newest sample in the smoothed time and in its variation, and the variations
  // added to the smoothed time, all by RFC 6298.
  private static final double SMOOTHING_WEIGHT = 1.0 / 8;
  private static final double VARIATION_WEIGHT = 1.0 / 4;
  private static final int VARIATION_FACTOR = 4;

  private final long minMs;
  private final long maxMs;
  private double smoothedMs = -1;
  private double variationMs;
  private int backoffFactor = 1;

  /** Never less than {@code minMs} nor more than {@code maxMs}. */
  ResponseTimeout(long minMs, long maxMs) {
    this.minMs = minMs;
    this.maxMs = maxMs;
  }

  /** An answer took this long. */
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

  /** No answer came within the time-out: the next one may take twice as long, and so on. */
  void recordTimeout() {
    backoffFactor = Math.min(2 * backoffFactor, (int) (maxMs / minMs) + 1);
  }

  /** How long to wait for the next answer; the longest time before any answer has come. */
  long timeoutMs() {
    if (smoothedMs < 0) {
      return maxMs;
    }
    double estimateMs = Math.max(minMs, smoothedMs + VARIATION_FACTOR * variationMs);
    return Math.round(Math.min(maxMs, backoffFactor * estimateMs));
  }
}
