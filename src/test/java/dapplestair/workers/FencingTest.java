package dapplestair.workers;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.leadership.FencingToken;
import org.junit.jupiter.api.Test;

/** Tests under which tokens launches may be sent. */
class FencingTest {
  private static final long TERM = 7;
  private static final long MAX_SHOWN_FENCE = 20_000;

  private static Host host(long tokenSeen, long fence) {
    Host host = new Host("n-1", 0);
    host.tokenSeen = tokenSeen;
    host.fence = fence;
    return host;
  }

  /**
   * Guards against launches under a token that is not lower than one raised by another controller:
   * the worker would execute such a launch after the lease renewal that is to fence it off.
   */
  @Test
  void launchesNeverUseATokenAtOrAboveOneRaisedByAnotherController() {
    for (long shownFence = 0; shownFence < MAX_SHOWN_FENCE; shownFence++) {
      long token = FencingToken.of(TERM, shownFence);
      long raised = FencingToken.raisedByNonLeader(token);
      long fence = shownFence;
      while (Fencing.maySendLaunches(host(token, fence), TERM)) {
        fence += 1 + FencingToken.MAX_FENCE_LEAD / 16;
        assertTrue(
            FencingToken.of(TERM, fence) < raised, "shown " + shownFence + ", fence " + fence);
      }
      long lastAllowedFence = shownFence + FencingToken.MAX_FENCE_LEAD - 1;
      assertTrue(
          Fencing.maySendLaunches(host(token, lastAllowedFence), TERM), "shown " + shownFence);
      assertFalse(
          Fencing.maySendLaunches(host(token, lastAllowedFence + 1), TERM), "shown " + shownFence);
    }
  }

  /** Guards against measuring the distance to the worker's token from a token of another term. */
  @Test
  void ignoresTokensOfOtherTerms() {
    long earlier = FencingToken.of(TERM - 1, MAX_SHOWN_FENCE);
    assertTrue(Fencing.maySendLaunches(host(earlier, 0), TERM));
    assertFalse(Fencing.maySendLaunches(host(earlier, FencingToken.MAX_FENCE_LEAD), TERM));
  }
}
