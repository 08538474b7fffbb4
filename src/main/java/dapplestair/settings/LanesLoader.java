package dapplestair.settings;

import dapplestair.work.Rank;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads lanes from the operators' file, and rejects those that the protocol forbids. */
public final class LanesLoader {
  private static final double MAX_CPUS = 1e6;

  private LanesLoader() {}

  static List<Lane> read(Path path, List<dapplestair.settings.proto.Lane> protos)
      throws SettingsException {
    List<Lane> lanes = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (dapplestair.settings.proto.Lane proto : protos) {
      Lane lane = parseLane(path, proto);
      if (!names.add(lane.name())) {
        throw invalid(path, "name", lane.name(), "given twice");
      }
      lanes.add(lane);
    }
    rejectCircularPreemption(path, lanes);
    return List.copyOf(lanes);
  }

  private static Lane parseLane(Path path, dapplestair.settings.proto.Lane proto)
      throws SettingsException {
    if (!proto.getName().matches("[a-z][a-z0-9-]{0,39}")) {
      throw invalid(path, "name", proto.getName(), "must be small letters, digits and dashes");
    }
    if (proto.getRidersCount() == 0) {
      throw invalid(path, "riders", "", "missing");
    }
    if (proto.getOverCount() == 0) {
      throw invalid(path, "over", "", "missing");
    }
    Rank rank = parseRank(path, "rank", proto.getRank());
    Rank overRank = parseRank(path, "over_rank", proto.getOverRank());
    if (!rank.outranks(overRank)) {
      throw invalid(
          path,
          "over_rank",
          proto.getOverRank(),
          "must be below rank = \""
              + proto.getRank()
              + "\": equal or higher work is not preempted");
    }
    return new Lane(
        proto.getName(),
        Set.copyOf(proto.getRidersList()),
        Set.copyOf(proto.getTeamsList()),
        Set.copyOf(proto.getOverList()),
        rank,
        overRank,
        OperatorSettingsLoader.requireWithin(
            path, "lane.reserve_cpus", proto.getReserveCpus(), 0, MAX_CPUS),
        Math.round(
            1000
                * (proto.hasBeginWithinS()
                    ? OperatorSettingsLoader.requireWithin(
                        path, "lane.begin_within_s", proto.getBeginWithinS(), 0.1, 3600)
                    : 2)));
  }

  private static Rank parseRank(Path path, String field, String text) throws SettingsException {
    Rank rank = Rank.fromWire(text);
    if (rank == null) {
      throw invalid(path, field, text, "must be critical, high, standard or low");
    }
    return rank;
  }

  /** Rejects lanes by which a class would preempt itself, directly or through other lanes. */
  private static void rejectCircularPreemption(Path path, List<Lane> lanes)
      throws SettingsException {
    for (Lane firstLane : lanes) {
      Set<String> preempted = new HashSet<>(firstLane.over());
      boolean changed = true;
      while (changed) {
        changed = false;
        for (Lane lane : lanes) {
          if (lane.riders().stream().anyMatch(preempted::contains)) {
            changed |= preempted.addAll(lane.over());
          }
        }
      }
      for (String rider : firstLane.riders()) {
        if (preempted.contains(rider)) {
          throw invalid(
              path, "over", rider, "goes over itself by lane \"" + firstLane.name() + "\"");
        }
      }
    }
  }

  /** Rejects lanes of teams that the platform does not know: these must be typing errors. */
  public static void checkTeams(Path path, List<Lane> lanes, Settings settings)
      throws SettingsException {
    for (Lane lane : lanes) {
      for (String team : lane.teams()) {
        if (!settings.teams().containsKey(team)) {
          throw invalid(path, "teams", team, "no such team in the settings");
        }
      }
    }
  }

  private static SettingsException invalid(Path path, String field, String value, String reason) {
    return new SettingsException(path + ": lane." + field + " = \"" + value + "\": " + reason);
  }
}
