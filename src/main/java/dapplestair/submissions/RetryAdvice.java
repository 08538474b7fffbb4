package dapplestair.submissions;

import dapplestair.ports.Clock;

/** Computes the Retry-After of deferred submissions: the more are deferred, the longer it is. */
final class RetryAdvice {
  private static final long WINDOW_MS = 1000;

  // Users repeat a submission for 60 seconds, and several retries must fit into that time.
  private static final int MAX_RETRY_AFTER_S = 10;

  private final Clock clock;
  private long windowStartMs;
  private int currentCount;
  private int previousCount;

  RetryAdvice(Clock clock) {
    this.clock = clock;
    windowStartMs = clock.now();
  }

  /**
   * Counts one more deferred submission and returns the seconds, at least 1, after which it is to
   * be retried.
   *
   * @param acceptedPerSecond how many submissions can be accepted per second
   */
  int retryAfterS(double acceptedPerSecond) {
    long elapsedMs = clock.now() - windowStartMs;
    if (elapsedMs >= WINDOW_MS) {
      previousCount = elapsedMs < 2 * WINDOW_MS ? currentCount : 0;
      currentCount = 0;
      windowStartMs = clock.now();
    }
    currentCount++;
    return (int)
        Math.max(
            1,
            Math.min(
                MAX_RETRY_AFTER_S,
                Math.max(currentCount, previousCount) / Math.max(1, acceptedPerSecond)));
  }
}
