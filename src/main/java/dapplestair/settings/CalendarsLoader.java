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
  private static final int MOST_DELIVERIES = 500;

  private CalendarsLoader() {}

  static List<RunCalendar> read(Path path, List<dapplestair.settings.proto.Calendar> list)
      throws SettingsException {
    List<RunCalendar> out = new ArrayList<>();
    Set<String> names = new HashSet<>();
    Set<String> classes = new HashSet<>();
    for (dapplestair.settings.proto.Calendar in : list) {
      RunCalendar calendar = calendar(path, in);
      if (!names.add(calendar.name())) {
        throw wrong(path, "name", calendar.name(), "given twice");
      }
      for (String run : calendar.runs()) {
        if (!classes.add(run)) {
          throw wrong(path, "runs", run, "is on two calendars");
        }
        if (calendar.deliveries().contains(run)) {
          throw wrong(path, "runs", run, "would wait for itself");
        }
      }
      out.add(calendar);
    }
    return List.copyOf(out);
  }

  private static RunCalendar calendar(Path path, dapplestair.settings.proto.Calendar in)
      throws SettingsException {
    if (!in.getName().matches("[a-z][a-z0-9-]{0,39}")) {
      throw wrong(path, "name", in.getName(), "must be small letters, digits and dashes");
    }
    if (in.getRunsCount() == 0 || in.getDeliveriesCount() == 0) {
      throw wrong(path, in.getRunsCount() == 0 ? "runs" : "deliveries", "", "missing");
    }
    double period = number(path, "period_s", in.getPeriodS(), 1, DAY_S);
    int complete = (int) number(path, "complete", in.getComplete(), 1, MOST_DELIVERIES);
    int quorum = (int) number(path, "quorum", in.getQuorum(), 0, complete);
    double cutOff = number(path, "cut_off_s", in.getCutOffS(), 0.1, period);
    return new RunCalendar(
        in.getName(),
        Set.copyOf(in.getRunsList()),
        in.getTeam().isEmpty() ? null : in.getTeam(),
        at(path, in.getAt()),
        Math.round(1000 * period),
        zone(path, in.getTimeZone()),
        Set.copyOf(in.getDeliveriesList()),
        complete,
        quorum,
        Math.round(1000 * number(path, "quorum_after_s", in.getQuorumAfterS(), 0, cutOff)),
        Math.round(1000 * cutOff));
  }

  private static double number(Path path, String field, double v, double low, double high)
      throws SettingsException {
    return OperatorSettingsLoader.within(path, "calendar." + field, v, low, high);
  }

  private static LocalTime at(Path path, String text) throws SettingsException {
    try {
      return text.isEmpty() ? LocalTime.MIDNIGHT : LocalTime.parse(text);
    } catch (DateTimeParseException e) {
      throw wrong(path, "at", text, "must be a time of day such as 00:15");
    }
  }

  private static ZoneId zone(Path path, String text) throws SettingsException {
    try {
      return ZoneId.of(text.isEmpty() ? "UTC" : text);
    } catch (DateTimeException e) {
      throw wrong(path, "time_zone", text, "is no time zone");
    }
  }

  /** A team that the platform does not know is a slip, not a wish. */
  public static void check(Path path, List<RunCalendar> calendars, Settings settings)
      throws SettingsException {
    for (RunCalendar calendar : calendars) {
      if (calendar.team() != null && !settings.teams().containsKey(calendar.team())) {
        throw wrong(path, "team", calendar.team(), "no such team in the settings");
      }
    }
  }

  private static SettingsException wrong(Path path, String field, String value, String why) {
    return new SettingsException(path + ": calendar." + field + " = \"" + value + "\": " + why);
  }
}
