package dapplestair.accepted;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.settings.Settings;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which jobs count as accepted after the newest read of the records. */
class AcceptedJobsTest {
  private static final String JOB = "wk-000412";

  private long position = 10;

  private final AcceptedJobs accepted =
      new AcceptedJobs((delayMs, task) -> () -> {}, settings(), null, () -> false, () -> position);

  private static Settings settings() {
    return new Settings(
        "a",
        "zone",
        null,
        null,
        List.of(),
        "cloud:1",
        "state:1",
        List.of("zone"),
        Map.of(),
        List.of(),
        new Settings.Workers(3000, 17_000, 47_000),
        null,
        null,
        null);
  }

  /** Guards against leases kept for jobs of which nobody ever spoke. */
  @Test
  void aJobThatNobodyToldOfIsNotNew() {
    assertFalse(accepted.unread(JOB));
  }

  /** Guards against late messages: what the records cover, the records tell. */
  @Test
  void aJobThatTheRecordsCoverIsNotNew() {
    accepted.hear(Map.of(JOB, position));
    assertFalse(accepted.unread(JOB), "told after the records were read up to its revision");
    accepted.hear(Map.of(JOB, position + 1));
    assertTrue(accepted.unread(JOB));
    position++;
    assertFalse(accepted.unread(JOB), "the records were read up to its revision since");
  }
}
