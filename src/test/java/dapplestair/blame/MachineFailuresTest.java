package dapplestair.blame;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class MachineFailuresTest {
  private static final String GOOD = "wk-000001";
  private static final String WRONG = "wk-000002";

  private final MachineFailures machineFailures = new MachineFailures(0);

  /** Its proof is that it completed elsewhere: a job that is over has just given it. */
  @Test
  void whatAJobThatIsOverSaysStays() {
    machineFailures.failed(GOOD, 3);
    machineFailures.failed.remove(GOOD);
    machineFailures.settle(1.5, 1);
    assertFalse(machineFailures.empty());
    assertEquals(1.5, machineFailures.settledOdds());
    assertEquals(1, machineFailures.jobs());
    assertEquals(1, machineFailures.unexplained(ref -> true));
  }

  /** A verdict on a job may be taken back, and then its failures count again. */
  @Test
  void whatAWrongJobExplainsIsKept() {
    machineFailures.failed(GOOD, 3);
    machineFailures.failed(WRONG, 0);
    machineFailures.failed(WRONG, 1);
    assertEquals(1, machineFailures.unexplained(WRONG::equals));
    assertEquals(3, machineFailures.unexplained(ref -> false));
    assertEquals(2, machineFailures.jobs());
  }

  @Test
  void withoutFailuresItIsEmpty() {
    machineFailures.failed(WRONG, 0);
    machineFailures.failed.remove(WRONG);
    assertTrue(machineFailures.empty());
  }
}
