package dapplestair.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against interleavings of launch, halt and clear, over leaders, sessions and tokens, in
 * which a task runs twice or runs after a proof that it is gone. All states within each bound are
 * explored. The counts of states and transitions are asserted, so that a change of the model, or of
 * the product's rules in it, can't make the exploration smaller unnoticed. {@link
 * ExploreTaskProtocol} explores larger bounds than a build has time for.
 */
class TaskProtocolTest {
  private static final int MAX_STATES = 200_000;

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    // has successor, machines, attempts, sessions, max raises, max messages, max reports,
    // non-leader
    // raises, late responses, user may cancel; expected states, expected transitions
    "one leader two sessions,false,1,2,2,2,2,1,false,false,false,59690,318293",
    "late answers,false,1,2,1,1,2,1,false,true,false,3943,19488",
    "a leader and its successor,true,1,1,1,1,1,1,false,false,false,108700,747445",
    "a cancellation meets the successor,true,1,1,1,0,1,1,false,false,true,18657,121857",
    "another controller raises the token,false,1,1,1,1,2,1,true,true,false,4580,22494",
    "two machines,false,2,2,1,0,1,1,false,false,false,16109,109982"
  })
  void noRuleIsBroken(
      String name,
      boolean successor,
      int machines,
      int attempts,
      int sessions,
      int raises,
      int messages,
      int reports,
      boolean raisedByOthers,
      boolean lateAnswers,
      boolean cancellation,
      int states,
      long transitions) {
    Bounds bounds =
        new Bounds(
            successor,
            machines,
            attempts,
            sessions,
            raises,
            messages,
            reports,
            raisedByOthers,
            lateAnswers,
            cancellation);
    Explorer.Result result = new Explorer(new TaskProtocol(bounds), MAX_STATES).explore();
    assertNull(
        result.brokenRule(), () -> result.brokenRule() + ":\n" + String.join("\n", result.trace()));
    assertEquals(states, result.states(), "states");
    assertEquals(transitions, result.transitions(), "transitions");
  }
}
