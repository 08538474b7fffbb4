package dapplestair.settings;

import dapplestair.work.Rank;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads lanes from the operators' file, and refuses those that the protocol forbids. */
public final class LanesLoader {
  private static final double MOST_CPUS = 1e6;

  private LanesLoader() {}

  static List<Lane> read(Path path, List<dapplestair.settings.proto.Lane> list)
      throws SettingsException {
    List<Lane> out = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (dapplestair.settings.proto.Lane in : list) {
      Lane lane = lane(path, in);
      if (!names.add(lane.name())) {
        throw wrong(path, "name", lane.name(), "given twice");
      }
      out.add(lane);
    }
    refuseCircles(path, out);
    return List.copyOf(out);
  }

  private static Lane lane(Path path, dapplestair.settings.proto.Lane in) throws SettingsException {
    if (!in.getName().matches("[a-z][a-z0-9-]{0,39}")) {
      throw wrong(path, "name", in.getName(), "must be small letters, digits and dashes");
    }
    if (in.getRidersCount() == 0) {
      throw wrong(path, "riders", "", "missing");
    }
    if (in.getOverCount() == 0) {
      throw wrong(path, "over", "", "missing");
    }
    Rank rank = rank(path, "rank", in.getRank());
    Rank overRank = rank(path, "over_rank", in.getOverRank());
    if (!rank.outranks(overRank)) {
      throw wrong(
          path,
          "over_rank",
          in.getOverRank(),
          "must be below rank = \"" + in.getRank() + "\": equal or higher work is not preempted");
    }
    return new Lane(
        in.getName(),
        Set.copyOf(in.getRidersList()),
        Set.copyOf(in.getTeamsList()),
        Set.copyOf(in.getOverList()),
        rank,
        overRank,
        OperatorSettingsLoader.within(path, "lane.reserve_cpus", in.getReserveCpus(), 0, MOST_CPUS),
        Math.round(
            1000
                * (in.hasBeginWithinS()
                    ? OperatorSettingsLoader.within(
                        path, "lane.begin_within_s", in.getBeginWithinS(), 0.1, 3600)
                    : 2)));
  }

  private static Rank rank(Path path, String field, String word) throws SettingsException {
    Rank rank = Rank.fromWire(word);
    if (rank == null) {
      throw wrong(path, field, word, "must be critical, high, standard or low");
    }
    return rank;
  }

  /** A class that goes over itself, by whatever way. */
  private static void refuseCircles(Path path, List<Lane> lanes) throws SettingsException {
    for (Lane from : lanes) {
      Set<String> below = new HashSet<>(from.over());
      boolean more = true;
      while (more) {
        more = false;
        for (Lane lane : lanes) {
          if (lane.riders().stream().anyMatch(below::contains)) {
            more |= below.addAll(lane.over());
          }
        }
      }
      for (String rider : from.riders()) {
        if (below.contains(rider)) {
          throw wrong(path, "over", rider, "goes over itself by lane \"" + from.name() + "\"");
        }
      }
    }
  }

  /** A team that the platform does not know is a slip, not a wish. */
  public static void check(Path path, List<Lane> lanes, Settings settings)
      throws SettingsException {
    for (Lane lane : lanes) {
      for (String team : lane.teams()) {
        if (!settings.teams().containsKey(team)) {
          throw wrong(path, "teams", team, "no such team in the settings");
        }
      }
    }
  }

  private static SettingsException wrong(Path path, String field, String value, String why) {
    return new SettingsException(path + ": lane." + field + " = \"" + value + "\": " + why);
  }
}
