package dapplestair.submissions;

import dapplestair.ports.Clock;

/** When those that were put off are told to come back: the later the more there are. */
final class RetryAdvice {
  private static final long WINDOW_MS = 1000;

  // Users repeat a submission for 60 seconds: several more tries must fit in.
  private static final int MOST_S = 10;

  private final Clock clock;
  private long since;
  private int now;
  private int before;

  RetryAdvice(Clock clock) {
    this.clock = clock;
    since = clock.now();
  }

  /** One more is put off while {@code perS} are accepted a second; seconds to wait, 1 at least. */
  int retryAfterS(double perS) {
    long passed = clock.now() - since;
    if (passed >= WINDOW_MS) {
      before = passed < 2 * WINDOW_MS ? now : 0;
      now = 0;
      since = clock.now();
    }
    now++;
    return (int) Math.max(1, Math.min(MOST_S, Math.max(now, before) / Math.max(1, perS)));
  }
}
