package dapplestair.blame;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class MachineFailuresTest {
  private static final String GOOD_JOB = "wk-000001";
  private static final String WRONG_JOB = "wk-000002";

  private final MachineFailures machineFailures = new MachineFailures(0);

  /**
   * Evidence against a machine is settled when a job ends after completing elsewhere the steps that
   * failed here. It must not disappear with the job's own records.
   */
  @Test
  void evidenceOfEndedJobsRemains() {
    machineFailures.recordFailure(GOOD_JOB, 3);
    machineFailures.failedStepsByJob.remove(GOOD_JOB);
    machineFailures.settleJob(1.5, 1);
    assertFalse(machineFailures.isEmpty());
    assertEquals(1.5, machineFailures.settledLogOdds());
    assertEquals(1, machineFailures.jobCount());
    assertEquals(1, machineFailures.countUnexplainedSteps(ref -> true));
  }

  /**
   * Failures explained by a suspected job stay recorded, because they count again when the
   * suspicion is withdrawn.
   */
  @Test
  void failuresExplainedByAJobStayRecorded() {
    machineFailures.recordFailure(GOOD_JOB, 3);
    machineFailures.recordFailure(WRONG_JOB, 0);
    machineFailures.recordFailure(WRONG_JOB, 1);
    assertEquals(1, machineFailures.countUnexplainedSteps(WRONG_JOB::equals));
    assertEquals(3, machineFailures.countUnexplainedSteps(ref -> false));
    assertEquals(2, machineFailures.jobCount());
  }

  @Test
  void isEmptyWithoutFailures() {
    machineFailures.recordFailure(WRONG_JOB, 0);
    machineFailures.failedStepsByJob.remove(WRONG_JOB);
    assertTrue(machineFailures.isEmpty());
  }
}
