package dapplestair.ledger;

import dapplestair.settings.Settings;
import dapplestair.work.Submission;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the resources of each team's attempts, from their planning until they have exited or are
 * proved absent.
 */
final class TeamUsage {
  private static final class Usage {
    double cpus;
    double gpus;
  }

  private static final Usage NONE = new Usage();

  private final Settings settings;
  private final Map<String, Usage> usageByTeam = new HashMap<>();

  TeamUsage(Settings settings) {
    this.settings = settings;
  }

  void add(Submission submission) {
    Usage usage = usageByTeam.computeIfAbsent(submission.team(), t -> new Usage());
    usage.cpus += submission.cpus();
    usage.gpus += submission.gpus();
  }

  void subtract(Submission submission) {
    Usage usage = usageByTeam.get(submission.team());
    usage.cpus -= submission.cpus();
    usage.gpus -= submission.gpus();
  }

  double cpus(String team) {
    return usageByTeam.getOrDefault(team, NONE).cpus;
  }

  double gpus(String team) {
    return usageByTeam.getOrDefault(team, NONE).gpus;
  }

  /** Returns true if the team's limits allow {@code tasks} more tasks of this size. */
  boolean allows(Submission submission, int tasks) {
    Settings.Team team = settings.teams().get(submission.team());
    if (team == null) {
      return false;
    }
    Usage usage = usageByTeam.getOrDefault(submission.team(), NONE);
    return (team.cpusMax() <= 0 || usage.cpus + tasks * submission.cpus() <= team.cpusMax() + 1e-6)
        && (team.gpusMax() <= 0 || usage.gpus + tasks * submission.gpus() <= team.gpusMax() + 1e-6);
  }

  /** Returns how many more tasks of this size the team's limit, or its guarantee, allows. */
  int maxAdditionalTasks(Submission submission, boolean withinGuarantee) {
    Settings.Team team = settings.teams().get(submission.team());
    double maxCpus = team == null ? 0 : withinGuarantee ? team.cpus() : team.cpusMax();
    if (team != null && maxCpus <= 0 && !withinGuarantee) {
      return Integer.MAX_VALUE;
    }
    return (int)
        Math.max(0, Math.floor((maxCpus - cpus(submission.team())) / submission.cpus() + 1e-9));
  }

  void clear() {
    usageByTeam.clear();
  }
}
