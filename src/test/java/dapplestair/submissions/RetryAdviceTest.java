package dapplestair.submissions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.ports.Clock;
import org.junit.jupiter.api.Test;

class RetryAdviceTest {
  private static final class ManualClock implements Clock {
    long nowMs;

    @Override
    public long now() {
      return nowMs;
    }

    @Override
    public long wall() {
      return nowMs;
    }
  }

  /**
   * Guards against retries that all come back at once. On a day with 12 single-task jobs a second,
   * after 55 s without controllers, 21,000 submissions were told to retry after 1 s.
   */
  @Test
  void retryDelayGrowsWithTheNumberOfDeferredSubmissions() {
    ManualClock clock = new ManualClock();
    RetryAdvice advice = new RetryAdvice(clock);
    assertEquals(1, advice.retryAfterS(6));
    int lastRetryAfterS = 0;
    for (int i = 0; i < 300; i++) {
      clock.nowMs += 3;
      lastRetryAfterS = advice.retryAfterS(6);
    }
    assertEquals(10, lastRetryAfterS);
    clock.nowMs += 5000;
    assertEquals(1, advice.retryAfterS(6));
    for (int i = 0; i < 20; i++) {
      lastRetryAfterS = advice.retryAfterS(6);
    }
    assertTrue(
        lastRetryAfterS >= 3 && lastRetryAfterS < 10, "retry-after seconds: " + lastRetryAfterS);
  }
}
