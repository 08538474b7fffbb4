package dapplestair.ledger;

import dapplestair.settings.Settings;
import dapplestair.work.Submission;
import java.util.HashMap;
import java.util.Map;

/** What each team's attempts use, counted from their planning until their absence is proved. */
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
    Usage use = usageByTeam.computeIfAbsent(submission.team(), t -> new Usage());
    use.cpus += submission.cpus();
    use.gpus += submission.gpus();
  }

  void subtract(Submission submission) {
    Usage use = usageByTeam.get(submission.team());
    use.cpus -= submission.cpus();
    use.gpus -= submission.gpus();
  }

  double cpus(String team) {
    return usageByTeam.getOrDefault(team, NONE).cpus;
  }

  double gpus(String team) {
    return usageByTeam.getOrDefault(team, NONE).gpus;
  }

  /** True when the team has room for so many more tasks of this size. */
  boolean allows(Submission submission, int tasks) {
    Settings.Team team = settings.teams().get(submission.team());
    if (team == null) {
      return false;
    }
    Usage use = usageByTeam.getOrDefault(submission.team(), NONE);
    return (team.cpusMax() <= 0 || use.cpus + tasks * submission.cpus() <= team.cpusMax() + 1e-6)
        && (team.gpusMax() <= 0 || use.gpus + tasks * submission.gpus() <= team.gpusMax() + 1e-6);
  }

  /** How many more tasks of this size the team's limit, or its guarantee, has room for. */
  int maxAdditionalTasks(Submission submission, boolean withinGuarantee) {
    Settings.Team team = settings.teams().get(submission.team());
    double most = team == null ? 0 : withinGuarantee ? team.cpus() : team.cpusMax();
    if (team != null && most <= 0 && !withinGuarantee) {
      return Integer.MAX_VALUE;
    }
    return (int)
        Math.max(0, Math.floor((most - cpus(submission.team())) / submission.cpus() + 1e-9));
  }

  void clear() {
    usageByTeam.clear();
  }
}
