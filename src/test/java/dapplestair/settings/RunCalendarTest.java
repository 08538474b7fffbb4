package dapplestair.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RunCalendarTest {
  private static final String GOOD =
      "calendar { name: \"basin\" runs: \"model\" deliveries: \"gauge\" period_s: 3600 complete: 3"
          + " quorum: 2 cut_off_s: 900 at: \"00:15\" time_zone: \"Europe/Berlin\" }";

  @TempDir Path dir;

  private static RunCalendar calendarWithPeriod(long hours, String zone) {
    return new RunCalendar(
        "c",
        Set.of("model"),
        null,
        LocalTime.of(0, 15),
        hours * 3_600_000,
        ZoneId.of(zone),
        Set.of("gauge"),
        3,
        0,
        0,
        600_000);
  }

  private static long epochMs(String instant) {
    return Instant.parse(instant).toEpochMilli();
  }

  /**
   * Covers days of 23 and 25 hours, a leap day, the end of a year, and the start of a cycle itself.
   */
  @ParameterizedTest(name = "{0} h in {1}: {2}")
  @CsvSource({
    "3,UTC,2026-12-31T23:59:59Z,2026-12-31T21:15:00Z,2027-01-01T00:15:00Z",
    "3,UTC,2027-01-01T00:15:00Z,2027-01-01T00:15:00Z,2027-01-01T03:15:00Z",
    "3,UTC,2027-01-01T00:14:59Z,2026-12-31T21:15:00Z,2027-01-01T00:15:00Z",
    "24,UTC,2028-02-29T12:00:00Z,2028-02-29T00:15:00Z,2028-03-01T00:15:00Z",
    // Clocks go forward at 01:00 UTC, so that the last cycle of the day is two hours long.
    "3,Europe/Berlin,2026-03-29T21:00:00Z,2026-03-29T20:15:00Z,2026-03-29T22:15:00Z",
    // Clocks go back, so that the last cycle of the day is one hour long.
    "3,Europe/Berlin,2026-10-25T23:00:00Z,2026-10-25T22:15:00Z,2026-10-25T23:15:00Z",
  })
  void findsCycleAndNextCycle(int hours, String zone, String at, String start, String next) {
    RunCalendar calendar = calendarWithPeriod(hours, zone);
    assertEquals(epochMs(start), calendar.cycleStartMs(epochMs(at)));
    assertEquals(epochMs(next), calendar.nextCycleStartMs(calendar.cycleStartMs(epochMs(at))));
  }

  /** In every time zone, each moment lies in exactly one cycle. */
  @Test
  void cyclesCoverAllTimes() {
    for (String zone : new String[] {"UTC", "Europe/Berlin", "America/Sao_Paulo", "Asia/Kolkata"}) {
      RunCalendar calendar = calendarWithPeriod(5, zone);
      long start = calendar.cycleStartMs(epochMs("2026-03-20T00:00:00Z"));
      while (start < epochMs("2026-11-05T00:00:00Z")) {
        long next = calendar.nextCycleStartMs(start);
        assertTrue(next > start && next - start <= 5 * 3_600_000, zone + " " + start);
        assertEquals(start, calendar.cycleStartMs(next - 1));
        assertEquals(next, calendar.cycleStartMs(next));
        start = next;
      }
    }
  }

  private OperatorSettings load(String text) throws IOException, SettingsException {
    return OperatorSettingsLoader.load(Files.writeString(dir.resolve("o.textproto"), text));
  }

  @Test
  void readsACalendar() throws IOException, SettingsException {
    assertEquals(900_000, load(GOOD).calendars().get(0).cutOffMs());
  }

  @ParameterizedTest(name = "{1}")
  @CsvSource(
      delimiter = ';',
      value = {
        "cut_off_s: 900; cut_off_s: 3601; calendar.cut_off_s = 3601.0",
        "quorum: 2; quorum: 4; calendar.quorum = 4.0",
        "complete: 3; complete: 0; calendar.complete = 0.0",
        "00:15; 25:15; calendar.at = \"25:15\"",
        "Europe/Berlin; Europe/Nowhere; calendar.time_zone = \"Europe/Nowhere\"",
        "runs: \"model\"; runs: \"gauge\"; calendar.runs = \"gauge\"",
      })
  void rejectsInvalidFields(String original, String replacement, String field) {
    String text = GOOD.replaceFirst(original, replacement);
    String message = assertThrows(SettingsException.class, () -> load(text)).getMessage();
    assertTrue(message.startsWith(dir.resolve("o.textproto") + ": " + field + ": "), message);
  }

  @Test
  void rejectsClassOnTwoCalendars() {
    String twoCalendars = GOOD + GOOD.replace("basin", "other");
    String message = assertThrows(SettingsException.class, () -> load(twoCalendars)).getMessage();
    assertTrue(message.contains("calendar.runs = \"model\": is on two calendars"), message);
  }
}
