package dapplestair.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FencingTokenTest {
  /**
   * Guards against raised tokens that the leader may already use: the next multiple of the step
   * alone can lie only one above the worker's token.
   */
  @Test
  void raisedTokenExceedsAllTokensTheLeaderMayUse() {
    for (long fence = 0; fence < 40_000; fence++) {
      long shown = FencingToken.of(7, fence);
      long raised = FencingToken.raisedByNonLeader(shown);
      assertTrue(raised - shown >= 2 * FencingToken.MAX_FENCE_LEAD, "raised to " + raised);
      assertEquals(7, FencingToken.term(raised));
      assertTrue(raised < FencingToken.of(8, 0), "another term's");
    }
  }

  @Test
  void returnsMinusOneWhenNoTokenIsLeft() {
    assertEquals(-1, FencingToken.raisedByNonLeader(FencingToken.of(7, (1L << 24) - 1)));
    long last = FencingToken.raisedByNonLeader(FencingToken.of(7, (1L << 23) - 20_000));
    assertTrue(last > 0 && FencingToken.term(last) == 7);
  }
}
