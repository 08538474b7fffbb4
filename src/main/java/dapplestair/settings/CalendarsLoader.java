package dapplestair.settings;

import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads run calendars from the operators' file. */
public final class CalendarsLoader {
  private static final double DAY_S = 86_400;
  private static final int MAX_DELIVERIES = 500;

  private CalendarsLoader() {}

  static List<RunCalendar> read(Path path, List<dapplestair.settings.proto.Calendar> protos)
      throws SettingsException {
    List<RunCalendar> calendars = new ArrayList<>();
    Set<String> names = new HashSet<>();
    Set<String> classes = new HashSet<>();
    for (dapplestair.settings.proto.Calendar proto : protos) {
      RunCalendar calendar = parseCalendar(path, proto);
      if (!names.add(calendar.name())) {
        throw invalid(path, "name", calendar.name(), "given twice");
      }
      for (String run : calendar.runs()) {
        if (!classes.add(run)) {
          throw invalid(path, "runs", run, "is on two calendars");
        }
        if (calendar.deliveries().contains(run)) {
          throw invalid(path, "runs", run, "would wait for itself");
        }
      }
      calendars.add(calendar);
    }
    return List.copyOf(calendars);
  }

  private static RunCalendar parseCalendar(Path path, dapplestair.settings.proto.Calendar proto)
      throws SettingsException {
    if (!proto.getName().matches("[a-z][a-z0-9-]{0,39}")) {
      throw invalid(path, "name", proto.getName(), "must be small letters, digits and dashes");
    }
    if (proto.getRunsCount() == 0 || proto.getDeliveriesCount() == 0) {
      throw invalid(path, proto.getRunsCount() == 0 ? "runs" : "deliveries", "", "missing");
    }
    double periodS = requireWithin(path, "period_s", proto.getPeriodS(), 1, DAY_S);
    int complete = (int) requireWithin(path, "complete", proto.getComplete(), 1, MAX_DELIVERIES);
    int quorum = (int) requireWithin(path, "quorum", proto.getQuorum(), 0, complete);
    double cutOffS = requireWithin(path, "cut_off_s", proto.getCutOffS(), 0.1, periodS);
    return new RunCalendar(
        proto.getName(),
        Set.copyOf(proto.getRunsList()),
        proto.getTeam().isEmpty() ? null : proto.getTeam(),
        parseTimeOfDay(path, proto.getAt()),
        Math.round(1000 * periodS),
        parseTimeZone(path, proto.getTimeZone()),
        Set.copyOf(proto.getDeliveriesList()),
        complete,
        quorum,
        Math.round(
            1000 * requireWithin(path, "quorum_after_s", proto.getQuorumAfterS(), 0, cutOffS)),
        Math.round(1000 * cutOffS));
  }

  private static double requireWithin(Path path, String field, double value, double min, double max)
      throws SettingsException {
    return OperatorSettingsLoader.requireWithin(path, "calendar." + field, value, min, max);
  }

  private static LocalTime parseTimeOfDay(Path path, String text) throws SettingsException {
    try {
      return text.isEmpty() ? LocalTime.MIDNIGHT : LocalTime.parse(text);
    } catch (DateTimeParseException e) {
      throw invalid(path, "at", text, "must be a time of day such as 00:15");
    }
  }

  private static ZoneId parseTimeZone(Path path, String text) throws SettingsException {
    try {
      return ZoneId.of(text.isEmpty() ? "UTC" : text);
    } catch (DateTimeException e) {
      throw invalid(path, "time_zone", text, "is no time zone");
    }
  }

  /** Rejects calendars of teams that the platform does not know: these must be typing errors. */
  public static void checkTeams(Path path, List<RunCalendar> calendars, Settings settings)
      throws SettingsException {
    for (RunCalendar calendar : calendars) {
      if (calendar.team() != null && !settings.teams().containsKey(calendar.team())) {
        throw invalid(path, "team", calendar.team(), "no such team in the settings");
      }
    }
  }

  private static SettingsException invalid(Path path, String field, String value, String reason) {
    return new SettingsException(path + ": calendar." + field + " = \"" + value + "\": " + reason);
  }
}
