package dapplestair.settings;

import dapplestair.settings.DisruptionBudgets.DisruptionBudget;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads budgets of disruption from the operators' file. */
public final class DisruptionBudgetsLoader {
  // Larger figures are slips of the keyboard.
  private static final double MOST_REPLICAS = 1e6;
  private static final double MOST_CPU_S = 1e12;

  private DisruptionBudgetsLoader() {}

  static DisruptionBudgets read(Path path, List<dapplestair.settings.proto.Budget> list)
      throws SettingsException {
    DisruptionBudget others = DisruptionBudgets.USUAL.others();
    for (dapplestair.settings.proto.Budget budget : list) {
      if (budget.getTeam().isEmpty()) {
        if (others != DisruptionBudgets.USUAL.others()) {
          throw new SettingsException(path + ": disruption.team = \"\": given twice");
        }
        others = budget(path, budget, others);
      }
    }
    Map<String, DisruptionBudget> teams = new HashMap<>();
    for (dapplestair.settings.proto.Budget budget : list) {
      if (!budget.getTeam().isEmpty()
          && teams.put(budget.getTeam(), budget(path, budget, others)) != null) {
        throw new SettingsException(
            path + ": disruption.team = \"" + budget.getTeam() + "\": given twice");
      }
    }
    return new DisruptionBudgets(Map.copyOf(teams), others);
  }

  /** What a team does not say holds as for all others. */
  private static DisruptionBudget budget(
      Path path, dapplestair.settings.proto.Budget budget, DisruptionBudget d)
      throws SettingsException {
    return new DisruptionBudget(
        budget.hasReplicas() ? count(path, "replicas", budget.getReplicas()) : d.replicas(),
        budget.hasReplicasRatio()
            ? ratio(path, "replicas_ratio", budget.getReplicasRatio())
            : d.replicasRatio(),
        budget.hasJobReplicas()
            ? count(path, "job_replicas", budget.getJobReplicas())
            : d.jobReplicas(),
        budget.hasJobRatio() ? ratio(path, "job_ratio", budget.getJobRatio()) : d.jobRatio(),
        budget.hasArrayTasks()
            ? count(path, "array_tasks", budget.getArrayTasks())
            : d.arrayTasks(),
        budget.hasLostCpuSPerHour()
            ? OperatorSettingsLoader.within(
                path, "disruption.lost_cpu_s_per_hour", budget.getLostCpuSPerHour(), 0, MOST_CPU_S)
            : d.lostCpuS());
  }

  private static int count(Path path, String field, int v) throws SettingsException {
    return (int) OperatorSettingsLoader.within(path, "disruption." + field, v, 0, MOST_REPLICAS);
  }

  private static double ratio(Path path, String field, double v) throws SettingsException {
    return OperatorSettingsLoader.within(path, "disruption." + field, v, 0, 1);
  }

  /** A budget for a team that the platform does not know is a slip, not a wish. */
  public static void check(Path path, DisruptionBudgets budgets, Settings settings)
      throws SettingsException {
    for (String team : budgets.teams().keySet()) {
      if (!settings.teams().containsKey(team)) {
        throw new SettingsException(
            path + ": disruption.team = \"" + team + "\": no such team in the settings");
      }
    }
  }
}
