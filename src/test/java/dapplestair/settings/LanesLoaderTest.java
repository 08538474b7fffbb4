package dapplestair.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.work.Rank;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LanesLoaderTest {
  private static final String GOOD =
      "lane { name: \"gate\" riders: \"orders\" over: \"settle\" rank: \"high\" over_rank: \"low\" }\n";

  @TempDir Path dir;

  private OperatorSettings load(String text) throws IOException, SettingsException {
    return OperatorSettingsLoader.load(Files.writeString(dir.resolve("o.textproto"), text));
  }

  @Test
  void readsALane() throws IOException, SettingsException {
    Lane lane = load(GOOD).lanes().get(0);
    assertEquals("gate", lane.name());
    assertEquals(Rank.HIGH, lane.rank());
    assertEquals(2000, lane.beginWithinMs());
  }

  /** Lanes that the protocol forbids and typing errors: the message names file, field and value. */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = ';',
      value = {
        "over_rank: \"low\"; over_rank: \"high\"; lane.over_rank = \"high\"",
        "rank: \"high\"; rank: \"higher\"; lane.rank = \"higher\"",
        "name: \"gate\"; name: \"A gate\"; lane.name = \"A gate\"",
        "riders: \"orders\"; ; lane.riders = \"\"",
        "over: \"settle\"; ; lane.over = \"\"",
        "over: \"settle\"; over: \"orders\"; lane.over = \"orders\"",
        "rank: \"high\"; rank: \"high\" reserve_cpus: -1; lane.reserve_cpus = -1.0",
      })
  void rejectsInvalidFields(String original, String replacement, String field) {
    String text = GOOD.replaceFirst(original, replacement == null ? "" : replacement);
    String message = assertThrows(SettingsException.class, () -> load(text)).getMessage();
    assertTrue(message.startsWith(dir.resolve("o.textproto") + ": " + field + ": "), message);
  }

  @Test
  void rejectsCircularPreemption() {
    String reverseLane =
        "lane { name: \"back\" riders: \"settle\" over: \"orders\" rank: \"high\" over_rank: \"low\" }";
    String message =
        assertThrows(SettingsException.class, () -> load(GOOD + reverseLane)).getMessage();
    assertEquals(
        "lane.over = \"orders\": goes over itself by lane \"gate\"",
        message.substring(message.indexOf("lane.over")));
  }

  @Test
  void rejectsDuplicateNames() {
    String message = assertThrows(SettingsException.class, () -> load(GOOD + GOOD)).getMessage();
    assertEquals(
        "lane.name = \"gate\": given twice", message.substring(message.indexOf("lane.name")));
  }
}
