package dapplestair.blame;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class MachineFailuresTest {
  private static final String GOOD = "wk-000001";
  private static final String WRONG = "wk-000002";

  private final MachineFailures machineCase = new MachineFailures(0);

  /** Its proof is that it completed elsewhere: a job that is over has just given it. */
  @Test
  void whatAJobThatIsOverSaysStays() {
    machineCase.failed(GOOD, 3);
    machineCase.failed.remove(GOOD);
    machineCase.settle(1.5, 1);
    assertFalse(machineCase.empty());
    assertEquals(1.5, machineCase.settledOdds());
    assertEquals(1, machineCase.jobs());
    assertEquals(1, machineCase.unexplained(ref -> true));
  }

  /** A verdict on a job may be taken back, and then its failures count again. */
  @Test
  void whatAWrongJobExplainsIsKept() {
    machineCase.failed(GOOD, 3);
    machineCase.failed(WRONG, 0);
    machineCase.failed(WRONG, 1);
    assertEquals(1, machineCase.unexplained(WRONG::equals));
    assertEquals(3, machineCase.unexplained(ref -> false));
    assertEquals(2, machineCase.jobs());
  }

  @Test
  void withoutFailuresItIsEmpty() {
    machineCase.failed(WRONG, 0);
    machineCase.failed.remove(WRONG);
    assertTrue(machineCase.empty());
  }
}
