package dapplestair.ledger;

import dapplestair.settings.Settings;
import dapplestair.work.Submission;
import java.util.HashMap;
import java.util.Map;

/** What each team's attempts use, counted from their planning until their absence is proved. */
final class TeamUse {
  private static final class Use {
    double cpus;
    double gpus;
  }

  private static final Use NONE = new Use();

  private final Settings settings;
  private final Map<String, Use> teams = new HashMap<>();

  TeamUse(Settings settings) {
    this.settings = settings;
  }

  void add(Submission s) {
    Use u = teams.computeIfAbsent(s.team(), t -> new Use());
    u.cpus += s.cpus();
    u.gpus += s.gpus();
  }

  void subtract(Submission s) {
    Use u = teams.get(s.team());
    u.cpus -= s.cpus();
    u.gpus -= s.gpus();
  }

  double cpus(String team) {
    return teams.getOrDefault(team, NONE).cpus;
  }

  double gpus(String team) {
    return teams.getOrDefault(team, NONE).gpus;
  }

  /** True when the team has room for so many more tasks of this size. */
  boolean allows(Submission s, int tasks) {
    Settings.Team team = settings.teams().get(s.team());
    if (team == null) {
      return false;
    }
    Use u = teams.getOrDefault(s.team(), NONE);
    return (team.cpusMax() <= 0 || u.cpus + tasks * s.cpus() <= team.cpusMax() + 1e-6)
        && (team.gpusMax() <= 0 || u.gpus + tasks * s.gpus() <= team.gpusMax() + 1e-6);
  }

  /** How many more tasks of this size the team's limit, or its guarantee, has room for. */
  int room(Submission s, boolean withinGuarantee) {
    Settings.Team team = settings.teams().get(s.team());
    double most = team == null ? 0 : withinGuarantee ? team.cpus() : team.cpusMax();
    if (team != null && most <= 0 && !withinGuarantee) {
      return Integer.MAX_VALUE;
    }
    return (int) Math.max(0, Math.floor((most - cpus(s.team())) / s.cpus() + 1e-9));
  }

  void clear() {
    teams.clear();
  }
}
