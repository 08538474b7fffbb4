package dapplestair.submissions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.ports.Clock;
import org.junit.jupiter.api.Test;

class RetryAdviceTest {
  private static final class ManualClock implements Clock {
    long now;

    @Override
    public long now() {
      return now;
    }

    @Override
    public long wall() {
      return now;
    }
  }

  /** Found on a day of 12 singles a second: after 55 s without controllers 21,000 were told 1 s. */
  @Test
  void manyComeBackLater() {
    ManualClock clock = new ManualClock();
    RetryAdvice off = new RetryAdvice(clock);
    assertEquals(1, off.retryAfterS(6));
    int last = 0;
    for (int i = 0; i < 300; i++) {
      clock.now += 3;
      last = off.retryAfterS(6);
    }
    assertEquals(10, last);
    clock.now += 5000;
    assertEquals(1, off.retryAfterS(6));
    for (int i = 0; i < 20; i++) {
      last = off.retryAfterS(6);
    }
    assertTrue(last >= 3 && last < 10, "seconds: " + last);
  }
}
