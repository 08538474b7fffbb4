package dapplestair.workers;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.leadership.FencingToken;
import org.junit.jupiter.api.Test;

/** Under which tokens launches may leave. */
class FencingTest {
  private static final long TERM = 7;
  private static final long MOST_SHOWN = 20_000;

  private static Host host(long tokenSeen, long fence) {
    Host host = new Host("n-1", 0);
    host.tokenSeen = tokenSeen;
    host.fence = fence;
    return host;
  }

  /** Guards against launches that a token raised by another controller does not keep out. */
  @Test
  void noLaunchLeavesUnderATokenThatOthersDoNotRaiseAbove() {
    for (long shown = 0; shown < MOST_SHOWN; shown++) {
      long token = FencingToken.of(TERM, shown);
      long raised = FencingToken.raisedByOther(token);
      long fence = shown;
      while (Fencing.maySendLaunches(host(token, fence), TERM)) {
        fence += 1 + FencingToken.MOST_AHEAD / 16;
        assertTrue(FencingToken.of(TERM, fence) < raised, "shown " + shown + ", fence " + fence);
      }
      long last = shown + FencingToken.MOST_AHEAD - 1;
      assertTrue(Fencing.maySendLaunches(host(token, last), TERM), "shown " + shown);
      assertFalse(Fencing.maySendLaunches(host(token, last + 1), TERM), "shown " + shown);
    }
  }

  /** Guards against counting from what a worker showed of another term. */
  @Test
  void aTokenOfAnotherTermCountsAsNone() {
    long earlier = FencingToken.of(TERM - 1, MOST_SHOWN);
    assertTrue(Fencing.maySendLaunches(host(earlier, 0), TERM));
    assertFalse(Fencing.maySendLaunches(host(earlier, FencingToken.MOST_AHEAD), TERM));
  }
}
