package dapplestair.accepted;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.settings.Settings;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which jobs count as accepted after the newest read of the records. */
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

  /** Guards against leases that are renewed for jobs that no leader has announced. */
  @Test
  void unannouncedJobIsNotUnread() {
    assertFalse(acceptedJobs.isUnread(JOB));
  }

  /**
   * Guards against late announcements: once the records are read up to a job's revision, they alone
   * decide whether the job is live.
   */
  @Test
  void jobCoveredByTheReadRevisionIsNotUnread() {
    acceptedJobs.handleLeaderMessage(Map.of(JOB, readRevision));
    assertFalse(
        acceptedJobs.isUnread(JOB), "announced after the records were read up to its revision");
    acceptedJobs.handleLeaderMessage(Map.of(JOB, readRevision + 1));
    assertTrue(acceptedJobs.isUnread(JOB));
    readRevision++;
    assertFalse(acceptedJobs.isUnread(JOB), "the records have since been read up to its revision");
  }
}
