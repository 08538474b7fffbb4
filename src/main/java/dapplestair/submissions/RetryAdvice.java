package dapplestair.submissions;

import dapplestair.ports.Clock;

/** When those that were put off are told to come back: the later the more there are. */
final class RetryAdvice {
  private static final long WINDOW_MS = 1000;

  // Users repeat a submission for 60 seconds: several more tries must fit in.
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
   * One more is put off while {@code acceptedPerSecond} are accepted a second; seconds to wait, 1
   * at least.
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
