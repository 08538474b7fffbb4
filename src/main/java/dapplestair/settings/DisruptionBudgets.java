package dapplestair.settings;

import java.util.Map;

/**
 * Disruption budgets: how much voluntary disruption each team allows.
 *
 * @param teams budgets of the teams that have their own, by team
 * @param defaultBudget the budget of all other teams
 */
public record DisruptionBudgets(
    Map<String, DisruptionBudget> teams, DisruptionBudget defaultBudget) {
  static final int NO_LIMIT = Integer.MAX_VALUE;
  static final double NO_RATIO = Double.POSITIVE_INFINITY;

  /** The defaults: one replica of each job, and a tenth of a team's replicas, at a time. */
  public static final DisruptionBudgets DEFAULTS =
      new DisruptionBudgets(
          Map.of(), new DisruptionBudget(NO_LIMIT, 0.1, 1, NO_RATIO, NO_LIMIT, NO_RATIO));

  /**
   * The budget of one team. Replicas that are out for any reason count against it. If both a count
   * and a ratio are given, the lower limit applies. A ratio is rounded up, so that a ratio above
   * zero always allows one replica.
   *
   * @param replicas maximum number of replicas out at once
   * @param replicasRatio the same limit as a ratio of the replicas that the team wants
   * @param jobReplicas maximum number of replicas of one job out at once
   * @param jobRatio the same limit as a ratio of the replicas that the job wants
   * @param arrayTasks maximum number of tasks of arrays stopped at once
   * @param lostCpuS maximum work lost in an hour, in CPU seconds
   */
  public record DisruptionBudget(
      int replicas,
      double replicasRatio,
      int jobReplicas,
      double jobRatio,
      int arrayTasks,
      double lostCpuS) {

    /** Returns how many replicas of a team may be out at once. */
    public int maxTeamReplicasOut(int desiredReplicas) {
      return Math.min(replicas, limitByRatio(replicasRatio, desiredReplicas));
    }

    /** Returns how many replicas of one job may be out at once. */
    public int maxJobReplicasOut(int desiredReplicas) {
      return Math.min(jobReplicas, limitByRatio(jobRatio, desiredReplicas));
    }

    private static int limitByRatio(double ratio, int desiredReplicas) {
      return Double.isInfinite(ratio) ? NO_LIMIT : (int) Math.ceil(ratio * desiredReplicas - 1e-9);
    }

    /** Returns whether lost work is unlimited, so that it need not be recorded. */
    public boolean isLostWorkUnlimited() {
      return Double.isInfinite(lostCpuS);
    }
  }

  /** Returns the budget of a team. */
  public DisruptionBudget forTeam(String team) {
    return teams.getOrDefault(team, defaultBudget);
  }
}
