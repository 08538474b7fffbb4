package dapplestair.planning;

import dapplestair.settings.OperatorSettings;
import java.util.List;

/** Which plan of a front is applied: the one nearest the origin among those that are in time. */
final class PlanSelector {
  // Which cost of a plan is its makespan.
  private static final int MAKESPAN = 0;

  // How much nearer a plan must be than the one that stands.
  private static final double INERTIA = 0.05;

  // With as much waiting as the fleet can hold, more weight would change nothing.
  private static final double MOST_PRESSURE = 1;

  // A plan is not in time when its makespan is so many times that of the fastest one.
  private static final double MOST_TIMES_FASTEST = 8;

  private final double[] weights;

  /**
   * The more work waits, the more its makespan weighs. With one weight for all times, a fleet that
   * is lean enough in calm hours lags behind a burst, and one that keeps up with bursts idles.
   *
   * @param pressure work that waits for long over what the fleet holds
   */
  PlanSelector(OperatorSettings operatorSettings, double pressure) {
    weights =
        new double[] {
          operatorSettings.makespanWeight() * (1 + 2 * Math.min(MOST_PRESSURE, pressure)),
          operatorSettings.spendWeight(),
          operatorSettings.riskWeight()
        };
  }

  /**
   * The plan of the front to apply, or {@code standing}, which may be null, if none is much nearer.
   *
   * <p>Each cost is divided by its greatest value on the front. The slowest plan there is the one
   * that holds the least: beside a fleet of one machine, thousands of waiting tasks make it so slow
   * that any plan of some dozens of machines seems as near as one for all of them. So plans that
   * nobody would take are dropped first, like those over the budget.
   */
  Nsga2.Individual of(List<Nsga2.Individual> front, Nsga2.Individual standing) {
    double fastest = front.stream().mapToDouble(PlanSelector::makespan).min().orElse(0);
    double most = MOST_TIMES_FASTEST * fastest;
    List<Nsga2.Individual> inTime = front.stream().filter(i -> makespan(i) <= most).toList();
    return standing == null || makespan(standing) > most
        ? Nsga2.nearestOrigin(inTime, weights)
        : Nsga2.nearestOrigin(inTime, standing, INERTIA, weights);
  }

  private static double makespan(Nsga2.Individual plan) {
    return plan.costs()[MAKESPAN];
  }
}
