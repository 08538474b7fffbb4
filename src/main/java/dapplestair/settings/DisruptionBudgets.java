package dapplestair.settings;

import java.util.Map;

/**
 * How much disruption of our own choice each team allows.
 *
 * @param teams budgets of teams that have their own
 * @param others the budget of all other teams
 */
public record DisruptionBudgets(Map<String, DisruptionBudget> teams, DisruptionBudget others) {
  static final int NO_LIMIT = Integer.MAX_VALUE;
  static final double NO_RATIO = Double.POSITIVE_INFINITY;

  /** Holds when nothing is said: a replica of each job, and a tenth of a team's, at a time. */
  public static final DisruptionBudgets USUAL =
      new DisruptionBudgets(
          Map.of(), new DisruptionBudget(NO_LIMIT, 0.1, 1, NO_RATIO, NO_LIMIT, NO_RATIO));

  /**
   * One team's budget. What is out for any reason counts against it. Where both a count and a ratio
   * are given, the lesser holds; a ratio is rounded up, so that one above zero always allows one.
   *
   * @param replicas most replicas out at once
   * @param replicasRatio the same, as a ratio to the replicas that the team wants
   * @param jobReplicas most replicas of one job out at once
   * @param jobRatio the same, as a ratio to those that the job wants
   * @param arrayTasks most tasks of arrays stopped at once
   * @param lostCpuS most work thrown away in an hour, CPU seconds
   */
  public record DisruptionBudget(
      int replicas,
      double replicasRatio,
      int jobReplicas,
      double jobRatio,
      int arrayTasks,
      double lostCpuS) {

    /** Replicas of a team that may be out at once. */
    public int ofTeam(int wanted) {
      return Math.min(replicas, share(replicasRatio, wanted));
    }

    /** Replicas of one job that may be out at once. */
    public int ofJob(int wanted) {
      return Math.min(jobReplicas, share(jobRatio, wanted));
    }

    private static int share(double ratio, int wanted) {
      return Double.isInfinite(ratio) ? NO_LIMIT : (int) Math.ceil(ratio * wanted - 1e-9);
    }

    /** True when nothing is said of work thrown away, so that nothing needs to be recorded. */
    public boolean anyLoss() {
      return Double.isInfinite(lostCpuS);
    }
  }

  /** The budget of a team. */
  public DisruptionBudget of(String team) {
    return teams.getOrDefault(team, others);
  }
}
