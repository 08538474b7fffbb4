package dapplestair.planning;

import dapplestair.settings.OperatorSettings;
import java.util.List;

/**
 * Selects the plan of a front to apply: the one nearest the origin among the plans that are fast
 * enough.
 */
final class PlanSelector {
  // Index of the makespan in the costs of a plan.
  private static final int MAKESPAN_INDEX = 0;

  // Ratio by which a new plan must be nearer to the origin than the current plan to replace it.
  private static final double INERTIA = 0.05;

  // When as much work waits as the fleet can hold, more weight on the makespan changes nothing.
  private static final double MAX_PRESSURE = 1;

  // A plan is too slow when its makespan exceeds that of the fastest plan by more than this factor.
  private static final double MAX_RATIO_TO_FASTEST = 8;

  private final double[] weights;

  /**
   * Creates a selector that weighs the makespan more the more work waits. With a constant weight, a
   * fleet that is small enough in calm hours lags behind a burst, and a fleet that keeps up with
   * bursts idles in calm hours.
   *
   * @param pressure CPUs of tasks that have waited for long, divided by the CPUs of the fleet
   */
  PlanSelector(OperatorSettings operatorSettings, double pressure) {
    weights =
        new double[] {
          operatorSettings.makespanWeight() * (1 + 2 * Math.min(MAX_PRESSURE, pressure)),
          operatorSettings.spendWeight(),
          operatorSettings.riskWeight()
        };
  }

  /**
   * Returns the plan of the front to apply, or {@code current}, which may be null, if no plan is
   * nearer to the origin than it by more than {@code INERTIA}.
   *
   * <p>Each cost is divided by its greatest value on the front. The slowest plan on the front is
   * the one that holds the fewest machines. With thousands of waiting tasks, a plan of one machine
   * is so slow that, scaled by its makespan, a plan of some dozens of machines seems as near to the
   * origin as a plan with machines for all tasks. Plans that are too slow are therefore dropped
   * before the scaling, like plans over the budget.
   */
  Nsga2.Individual select(List<Nsga2.Individual> front, Nsga2.Individual current) {
    double fastestS = front.stream().mapToDouble(PlanSelector::makespanS).min().orElse(0);
    double maxMakespanS = MAX_RATIO_TO_FASTEST * fastestS;
    List<Nsga2.Individual> fastEnough =
        front.stream().filter(i -> makespanS(i) <= maxMakespanS).toList();
    return current == null || makespanS(current) > maxMakespanS
        ? Nsga2.nearestOrigin(fastEnough, weights)
        : Nsga2.nearestOrigin(fastEnough, current, INERTIA, weights);
  }

  private static double makespanS(Nsga2.Individual plan) {
    return plan.costs()[MAKESPAN_INDEX];
  }
}
