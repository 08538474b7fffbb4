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

  private long readRevision = 10;

  private final AcceptedJobs acceptedJobs =
      new AcceptedJobs(
          (delayMs, task) -> () -> {}, settings(), null, () -> false, () -> readRevision);

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
  void unannouncedJobIsNotUnread() {
    assertFalse(acceptedJobs.isUnread(JOB));
  }

  /** Guards against late messages: what the records cover, the records tell. */
  @Test
  void jobCoveredByTheReadRevisionIsNotUnread() {
    acceptedJobs.handleLeaderMessage(Map.of(JOB, readRevision));
    assertFalse(acceptedJobs.isUnread(JOB), "told after the records were read up to its revision");
    acceptedJobs.handleLeaderMessage(Map.of(JOB, readRevision + 1));
    assertTrue(acceptedJobs.isUnread(JOB));
    readRevision++;
    assertFalse(acceptedJobs.isUnread(JOB), "the records were read up to its revision since");
  }
}
