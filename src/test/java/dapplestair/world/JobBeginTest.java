package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dapplestair.json.Json;
import org.junit.jupiter.api.Test;

/** When a job has begun, as the checker counts it. */
class JobBeginTest {
  private static final String TASK = "wk-000001/0";
  private static final long STOP_MS = 1500;
  private static final long RESTART_MS = 60_000;

  private final SimulatedUsers.KnownJob job =
      new SimulatedUsers.KnownJob(Json.object().put("ref", "wk-000001"));

  /** Guards against jobs counted as begun by starts that were taken back. */
  @Test
  void aStartThatIsStoppedSoonDoesNotCount() {
    job.taskStarted(TASK, 0);
    job.taskStopped(TASK, STOP_MS);
    assertEquals(-1, job.begunAt());
    job.taskStarted(TASK, RESTART_MS);
    assertEquals(RESTART_MS, job.begunAt());
  }

  /** Guards against jobs counted as waiting for ever though they are done. */
  @Test
  void aTaskThatCompletesWhileItSavesCountsAsBegun() {
    job.taskStarted(TASK, 0);
    job.taskStopped(TASK, STOP_MS);
    job.taskStarted(TASK, RESTART_MS);
    job.taskStopped(TASK, RESTART_MS + STOP_MS);
    job.taskCompleted(TASK);
    assertEquals(RESTART_MS, job.begunAt());
  }

  /** Guards against a start that was taken back and counts since a later one completes. */
  @Test
  void aLaterStartDoesNotRestoreAnEarlierOne() {
    job.taskStarted(TASK, 0);
    job.taskStopped(TASK, STOP_MS);
    job.taskStarted(TASK, RESTART_MS);
    job.taskCompleted(TASK);
    assertEquals(RESTART_MS, job.begunAt());
  }

  /** Guards against a completed task that hides another one whose start was taken back. */
  @Test
  void theCompletionOfAnotherTaskDoesNotCount() {
    job.taskStarted(TASK, 0);
    job.taskStopped(TASK, STOP_MS);
    job.taskCompleted("wk-000001/1");
    assertEquals(-1, job.begunAt());
  }
}
