package dapplestair.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.machines.MachineType;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/**
 * Checks that unchanged demand keeps its plan whatever random numbers the search draws, and that
 * changed demand gets a different plan.
 */
class PlanStabilityTest {
  private static final double INERTIA = 0.05;
  private static final double[] WEIGHTS = {2.1, 1, 0.5};

  private static FleetProblem.MachineKindState kindState(
      String name, double cpus, boolean spot, double price) {
    MachineType type =
        new MachineType(name, cpus, 0, 64, 50, 1, price, price / 2, 25, List.of("a", "b"));
    return new FleetProblem.MachineKindState(
        type, spot, spot ? 0 : 5, 400, new HeldTaskSlots(List.of(), 50), 0, price, spot ? 0.1 : 0);
  }

  /** Creates a problem with eight variables and the given number of arrays. */
  private static FleetProblem problem(int jobCount) {
    List<FleetProblem.MachineKindState> kinds = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      double cpus = 8 << (i % 3);
      kinds.add(kindState("t" + i, cpus, false, cpus * (0.04 + 0.004 * i)));
      kinds.add(kindState("t" + i, cpus, true, cpus * (0.02 + 0.002 * i)));
    }
    boolean[] all = new boolean[kinds.size()];
    Arrays.fill(all, true);
    List<FleetProblem.DryTasks> tasks = new ArrayList<>();
    for (int i = 0; i < jobCount; i++) {
      tasks.add(new FleetProblem.DryTasks(all, 60, 2, 20 + i % 7, false, 0.9, 0));
    }
    return new FleetProblem(kinds, tasks, 2, 1e9);
  }

  /** Returns the number of different plans that 25 consecutive rounds choose. */
  private static int countDistinctPlans(FleetProblem problem, boolean keepsCurrent) {
    Set<List<Integer>> distinctPlans = new HashSet<>();
    double[] lastPlan = null;
    for (int round = 0; round < 25; round++) {
      List<double[]> seeds = new ArrayList<>(List.of(problem.lower()));
      if (keepsCurrent) {
        Autoscaler.addShareSeeds(problem, seeds);
        if (lastPlan != null) {
          seeds.add(lastPlan);
        }
      }
      var random = RandomSource.XO_RO_SHI_RO_128_PP.create(round);
      List<Nsga2.Individual> front = new Nsga2(random, 20, 300).search(problem, seeds);
      Nsga2.Individual chosen =
          lastPlan == null || !keepsCurrent
              ? Nsga2.nearestOrigin(front, WEIGHTS)
              : Nsga2.nearestOrigin(
                  front,
                  new Nsga2.Individual(lastPlan, problem.evaluate(lastPlan)),
                  INERTIA,
                  WEIGHTS);
      lastPlan = chosen.variables();
      distinctPlans.add(Arrays.stream(FleetProblem.roundToCounts(lastPlan)).boxed().toList());
    }
    return distinctPlans.size();
  }

  @Test
  void theSameDemandGetsTheSamePlan() {
    int withCurrent = countDistinctPlans(problem(40), true);
    int withoutCurrent = countDistinctPlans(problem(40), false);
    assertTrue(withoutCurrent > 20, "the search alone chose " + withoutCurrent + " plans of 25");
    assertTrue(withCurrent <= 4, withCurrent + " plans of 25");
  }

  /** A plan is replaced when the demand has changed. */
  @Test
  void changedDemandGetsADifferentPlan() {
    FleetProblem few = problem(10);
    FleetProblem many = problem(80);
    double[] small = choosePlan(few, null);
    double[] large = choosePlan(many, small);
    assertTrue(cpus(many, large) > 1.5 * cpus(few, small), "does not grow with the demand");
    assertTrue(
        cpus(few, choosePlan(few, large)) < 0.7 * cpus(many, large),
        "does not shrink with the demand");
  }

  private static double[] choosePlan(FleetProblem problem, double[] lastPlan) {
    List<double[]> seeds = new ArrayList<>(List.of(problem.lower()));
    Autoscaler.addShareSeeds(problem, seeds);
    if (lastPlan != null) {
      seeds.add(lastPlan);
    }
    var random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
    List<Nsga2.Individual> front = new Nsga2(random, 20, 300).search(problem, seeds);
    return lastPlan == null
        ? Nsga2.nearestOrigin(front, WEIGHTS).variables()
        : Nsga2.nearestOrigin(
                front, new Nsga2.Individual(lastPlan, problem.evaluate(lastPlan)), INERTIA, WEIGHTS)
            .variables();
  }

  private static double cpus(FleetProblem problem, double[] counts) {
    double sum = 0;
    for (int i = 0; i < counts.length; i++) {
      sum += counts[i] * problem.machineKinds().get(i).type().cpus();
    }
    return sum;
  }

  /**
   * Starting points for a share of the waiting work stay within the bounds and use the cheapest
   * kind first; a share of 1 has capacity for all of the work.
   */
  @Test
  void shareSeedsStayWithinTheBounds() {
    FleetProblem problem = problem(40);
    double[] fullShare = problem.seedForShare(1);
    double[] quarter = problem.seedForShare(0.25);
    for (int i = 0; i < fullShare.length; i++) {
      assertTrue(fullShare[i] >= problem.lower()[i] && fullShare[i] <= problem.upper()[i]);
      assertTrue(quarter[i] <= fullShare[i]);
    }
    assertTrue(cpus(problem, fullShare) >= 40 * 60 * 4, "capacity for all waiting work");
    assertEquals(400, fullShare[1], "the cheapest kind is used up first");
  }
}
