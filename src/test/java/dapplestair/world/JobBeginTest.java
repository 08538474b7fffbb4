package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dapplestair.json.Json;
import org.junit.jupiter.api.Test;

/** Tests when the invariant checker counts a job as begun. */
class JobBeginTest {
  private static final String TASK = "wk-000001/0";
  private static final long STOP_MS = 1500;
  private static final long RESTART_MS = 60_000;

  private final SimulatedUsers.KnownJob job =
      new SimulatedUsers.KnownJob(Json.object().put("ref", "wk-000001"));

  /** Guards against counting a job as begun by a start that was stopped soon after. */
  @Test
  void aStartThatIsStoppedSoonDoesNotCount() {
    job.taskStarted(TASK, 0);
    job.taskStopped(TASK, STOP_MS);
    assertEquals(-1, job.begunAtMs());
    job.taskStarted(TASK, RESTART_MS);
    assertEquals(RESTART_MS, job.begunAtMs());
  }

  /** Guards against counting a job as waiting forever although it is done. */
  @Test
  void aTaskThatCompletesWhileItSavesCountsAsBegun() {
    job.taskStarted(TASK, 0);
    job.taskStopped(TASK, STOP_MS);
    job.taskStarted(TASK, RESTART_MS);
    job.taskStopped(TASK, RESTART_MS + STOP_MS);
    job.taskCompleted(TASK);
    assertEquals(RESTART_MS, job.begunAtMs());
  }

  /**
   * Guards against counting a start that was stopped because a later start of the same task
   * completes.
   */
  @Test
  void aLaterStartDoesNotRestoreAnEarlierOne() {
    job.taskStarted(TASK, 0);
    job.taskStopped(TASK, STOP_MS);
    job.taskStarted(TASK, RESTART_MS);
    job.taskCompleted(TASK);
    assertEquals(RESTART_MS, job.begunAtMs());
  }

  /** Guards against counting a stopped start because another task of the job completes. */
  @Test
  void theCompletionOfAnotherTaskDoesNotCount() {
    job.taskStarted(TASK, 0);
    job.taskStopped(TASK, STOP_MS);
    job.taskCompleted("wk-000001/1");
    assertEquals(-1, job.begunAtMs());
  }
}
