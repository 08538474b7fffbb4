package dapplestair.settings;

import dapplestair.settings.DisruptionBudgets.DisruptionBudget;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads disruption budgets from the operators' file. */
public final class DisruptionBudgetsLoader {
  // Larger values are assumed to be typing errors.
  private static final double MAX_REPLICAS = 1e6;
  private static final double MAX_CPU_S = 1e12;

  private DisruptionBudgetsLoader() {}

  static DisruptionBudgets read(Path path, List<dapplestair.settings.proto.Budget> protos)
      throws SettingsException {
    DisruptionBudget defaultBudget = DisruptionBudgets.DEFAULTS.defaultBudget();
    for (dapplestair.settings.proto.Budget proto : protos) {
      if (proto.getTeam().isEmpty()) {
        if (defaultBudget != DisruptionBudgets.DEFAULTS.defaultBudget()) {
          throw new SettingsException(path + ": disruption.team = \"\": given twice");
        }
        defaultBudget = parseBudget(path, proto, defaultBudget);
      }
    }
    Map<String, DisruptionBudget> teams = new HashMap<>();
    for (dapplestair.settings.proto.Budget proto : protos) {
      if (!proto.getTeam().isEmpty()
          && teams.put(proto.getTeam(), parseBudget(path, proto, defaultBudget)) != null) {
        throw new SettingsException(
            path + ": disruption.team = \"" + proto.getTeam() + "\": given twice");
      }
    }
    return new DisruptionBudgets(Map.copyOf(teams), defaultBudget);
  }

  /** Reads a team's budget; fields that it does not set are taken from {@code defaults}. */
  private static DisruptionBudget parseBudget(
      Path path, dapplestair.settings.proto.Budget proto, DisruptionBudget defaults)
      throws SettingsException {
    return new DisruptionBudget(
        proto.hasReplicas()
            ? requireCount(path, "replicas", proto.getReplicas())
            : defaults.replicas(),
        proto.hasReplicasRatio()
            ? requireRatio(path, "replicas_ratio", proto.getReplicasRatio())
            : defaults.replicasRatio(),
        proto.hasJobReplicas()
            ? requireCount(path, "job_replicas", proto.getJobReplicas())
            : defaults.jobReplicas(),
        proto.hasJobRatio()
            ? requireRatio(path, "job_ratio", proto.getJobRatio())
            : defaults.jobRatio(),
        proto.hasArrayTasks()
            ? requireCount(path, "array_tasks", proto.getArrayTasks())
            : defaults.arrayTasks(),
        proto.hasLostCpuSPerHour()
            ? OperatorSettingsLoader.requireWithin(
                path, "disruption.lost_cpu_s_per_hour", proto.getLostCpuSPerHour(), 0, MAX_CPU_S)
            : defaults.lostCpuS());
  }

  private static int requireCount(Path path, String field, int value) throws SettingsException {
    return (int)
        OperatorSettingsLoader.requireWithin(path, "disruption." + field, value, 0, MAX_REPLICAS);
  }

  private static double requireRatio(Path path, String field, double value)
      throws SettingsException {
    return OperatorSettingsLoader.requireWithin(path, "disruption." + field, value, 0, 1);
  }

  /** Rejects budgets of teams that the platform does not know, since they must be typing errors. */
  public static void checkTeams(Path path, DisruptionBudgets budgets, Settings settings)
      throws SettingsException {
    for (String team : budgets.teams().keySet()) {
      if (!settings.teams().containsKey(team)) {
        throw new SettingsException(
            path + ": disruption.team = \"" + team + "\": no such team in the settings");
      }
    }
  }
}
