package dapplestair.settings;

import java.util.Map;

/**
 * How much disruption of our own choice each team allows.
 *
 * @param teams budgets of teams that have their own
 * @param defaultBudget the budget of all other teams
 */
public record DisruptionBudgets(
    Map<String, DisruptionBudget> teams, DisruptionBudget defaultBudget) {
  static final int NO_LIMIT = Integer.MAX_VALUE;
  static final double NO_RATIO = Double.POSITIVE_INFINITY;

  /** Holds when nothing is said: a replica of each job, and a tenth of a team's, at a time. */
  public static final DisruptionBudgets DEFAULTS =
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
    public int maxTeamReplicasOut(int desiredReplicas) {
      return Math.min(replicas, limitByRatio(replicasRatio, desiredReplicas));
    }

    /** Replicas of one job that may be out at once. */
    public int maxJobReplicasOut(int desiredReplicas) {
      return Math.min(jobReplicas, limitByRatio(jobRatio, desiredReplicas));
    }

    private static int limitByRatio(double ratio, int desiredReplicas) {
      return Double.isInfinite(ratio) ? NO_LIMIT : (int) Math.ceil(ratio * desiredReplicas - 1e-9);
    }

    /** True when nothing is said of work thrown away, so that nothing needs to be recorded. */
    public boolean isLostWorkUnlimited() {
      return Double.isInfinite(lostCpuS);
    }
  }

  /** The budget of a team. */
  public DisruptionBudget forTeam(String team) {
    return teams.getOrDefault(team, defaultBudget);
  }
}
