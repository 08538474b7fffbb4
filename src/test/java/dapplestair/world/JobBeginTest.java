package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dapplestair.json.Json;
import org.junit.jupiter.api.Test;

/** When a job has begun, as the checker counts it. */
class JobBeginTest {
  private static final String TASK = "wk-000001/0";
  private static final long STOPPED_MS = 1500;
  private static final long LONG_MS = 60_000;

  private final SimulatedUsers.KnownJob job =
      new SimulatedUsers.KnownJob(Json.object().put("ref", "wk-000001"));

  /** Guards against jobs counted as begun by starts that were taken back. */
  @Test
  void aStartStoppedSoonIsNone() {
    job.taskStarted(TASK, 0);
    job.taskStopped(TASK, STOPPED_MS);
    assertEquals(-1, job.begunAtMs());
    job.taskStarted(TASK, LONG_MS);
    assertEquals(LONG_MS, job.begunAtMs());
  }

  /** Guards against jobs counted as waiting for ever though they are done. */
  @Test
  void aTaskThatCompletesWhileItSavesHasBegun() {
    job.taskStarted(TASK, 0);
    job.taskStopped(TASK, STOPPED_MS);
    job.taskStarted(TASK, LONG_MS);
    job.taskStopped(TASK, LONG_MS + STOPPED_MS);
    job.taskCompleted(TASK);
    assertEquals(LONG_MS, job.begunAtMs());
  }

  /** Guards against a start that was taken back and counts since a later one completes. */
  @Test
  void aLaterStartDoesNotRestoreAnEarlierOne() {
    job.taskStarted(TASK, 0);
    job.taskStopped(TASK, STOPPED_MS);
    job.taskStarted(TASK, LONG_MS);
    job.taskCompleted(TASK);
    assertEquals(LONG_MS, job.begunAtMs());
  }

  /** Guards against a completed task that hides another one whose start was taken back. */
  @Test
  void anotherTasksEndIsNone() {
    job.taskStarted(TASK, 0);
    job.taskStopped(TASK, STOPPED_MS);
    job.taskCompleted("wk-000001/1");
    assertEquals(-1, job.begunAtMs());
  }
}
