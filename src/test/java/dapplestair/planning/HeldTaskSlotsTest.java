package dapplestair.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HeldTaskSlotsTest {
  private static List<double[]> machines(int count) {
    List<double[]> slotsFreeAtS = new ArrayList<>();
    for (int m = 0; m < count; m++) {
      double[] freeAtS = new double[16];
      for (int l = 0; l < 16; l++) {
        freeAtS[l] = l < 4 ? HeldTaskSlots.NEVER_FREE_S : (m * 16 + l) % 97;
      }
      slotsFreeAtS.add(freeAtS);
    }
    return slotsFreeAtS;
  }

  @Test
  void countsTheTaskSlotsOfTheFirstMachines() {
    HeldTaskSlots held = new HeldTaskSlots(machines(40), 100);
    assertEquals(16 * 25, held.slotsOf(25, 16, 30).totalSlots());
    assertEquals(16 * 50, held.slotsOf(50, 16, 30).totalSlots());
    assertEquals(12 * 25, held.slotsOf(25, 16, 30).countFreeBy(100));
  }

  @Test
  void roundsTimesUpOnly() {
    HeldTaskSlots held = new HeldTaskSlots(List.of(new double[] {7.3, 0}), 100);
    FreeTaskSlots free = held.slotsOf(1, 2, 30);
    assertEquals(0, free.earliestStartS(1));
    assertTrue(
        free.earliestStartS(2) >= 7.3 && free.earliestStartS(2) < 15,
        "free at " + free.earliestStartS(2));
  }

  /**
   * The number of distinct times is bounded, so that the cost of one evaluation does not grow with
   * the fleet.
   */
  @Test
  void numberOfDistinctTimesIsBounded() {
    for (int machineCount : new int[] {10, 100, 1500}) {
      FreeTaskSlots free =
          new HeldTaskSlots(machines(machineCount), 100).slotsOf(machineCount + 10, 16, 30);
      int distinctTimes = 0;
      while (free.totalSlots() > 0
          && free.earliestStartS(1) < Double.POSITIVE_INFINITY
          && distinctTimes < 1000) {
        free.remove(free.countFreeBy(free.earliestStartS(1)));
        distinctTimes++;
      }
      assertTrue(
          distinctTimes <= 33, distinctTimes + " distinct times for " + machineCount + " machines");
    }
  }

  @Test
  void occupiesEarliestFreeSlotsFirst() {
    FreeTaskSlots free = new FreeTaskSlots();
    free.add(0, 4);
    free.add(10, 4);
    free.occupy(6, 50);
    assertEquals(8, free.totalSlots());
    assertEquals(10, free.earliestStartS(1));
    assertEquals(50, free.earliestStartS(3));
    assertEquals(Double.POSITIVE_INFINITY, free.earliestStartS(9));
  }
}
