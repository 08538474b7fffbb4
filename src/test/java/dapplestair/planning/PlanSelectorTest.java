package dapplestair.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.settings.OperatorSettings;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the selection on the front of the first plan after a burst from a cold start, as logged in
 * {@code BurstTest} with seed 5016. Each row holds the machines held, the makespan in seconds and
 * the spend per hour.
 */
class PlanSelectorTest {
  private static final double[][] LOGGED = {
    {1, 13725, 0.4},
    {2, 6867, 0.8},
    {5, 2749, 2.0},
    {14, 998, 5.6},
    {40, 358, 16.0},
    {114, 138, 45.6},
    {188, 89, 75.2},
    {289, 71, 115.6},
    {375, 53, 150.0},
    {453, 47, 181.2},
    {601, 41, 240.4},
    {750, 35, 300.0}
  };

  private static Nsga2.Individual plan(double[] logged) {
    return new Nsga2.Individual(new double[] {logged[0]}, new double[] {logged[1], logged[2], 0});
  }

  private static List<Nsga2.Individual> front(int firstIndex) {
    List<Nsga2.Individual> plans = new ArrayList<>();
    for (int i = firstIndex; i < LOGGED.length; i++) {
      plans.add(plan(LOGGED[i]));
    }
    return plans;
  }

  private static double machines(Nsga2.Individual plan) {
    return plan.variables()[0];
  }

  private final PlanSelector selector = new PlanSelector(OperatorSettings.defaults(), 0);

  @Test
  void aBurstGetsHundredsOfMachines() {
    assertTrue(machines(selector.select(front(0), null)) >= 375 / 2.0);
  }

  /** The slowest plans are never selected, so their presence on the front must not matter. */
  @Test
  void theSlowestPlansDoNotAffectTheSelection() {
    double withoutSlowest = machines(selector.select(front(5), null));
    for (int from = 0; from < 5; from++) {
      assertEquals(
          withoutSlowest, machines(selector.select(front(from), null)), "from plan " + from);
    }
  }

  /** When a burst arrives, the current plan is too slow and must be replaced. */
  @Test
  void aCurrentPlanThatIsTooSlowIsReplaced() {
    Nsga2.Individual tooSlow = plan(LOGGED[4]);
    assertTrue(machines(selector.select(front(0), tooSlow)) > machines(tooSlow));
  }

  @Test
  void aCurrentPlanAboutAsNearIsKept() {
    Nsga2.Individual nearest = selector.select(front(0), null);
    Nsga2.Individual current =
        new Nsga2.Individual(new double[] {machines(nearest) + 1}, nearest.costs().clone());
    assertSame(current, selector.select(front(0), current));
  }

  /** With nothing to place, all makespans are zero, and the cheapest plan is selected. */
  @Test
  void withoutWorkTheCheapestIsSelected() {
    List<Nsga2.Individual> idle =
        List.of(plan(new double[] {3, 0, 1.2}), plan(new double[] {1, 0, 0.4}));
    assertEquals(1, machines(selector.select(idle, null)));
  }
}
