package dapplestair.planning;

import java.util.Arrays;
import java.util.List;

/**
 * Records when the task slots of the held machines of one kind become free, aggregated so that the
 * cost of one evaluation does not grow with the fleet: times are rounded up to a few edges, and the
 * number of task slots that become free at each edge is precomputed for every number of machines.
 */
final class HeldTaskSlots {
  private static final int EDGE_COUNT = 32;

  /** Time in seconds after which task slots that services occupy count as free. */
  static final double NEVER_FREE_S = 1e6;

  private final double[] edgesS;
  private final int[][] slotsAtEdgeByMachineCount;

  /**
   * Creates the table for machines that are listed in the order in which plans keep them.
   *
   * @param freeAtS for each machine, the time in seconds from now until each of its task slots is
   *     free
   * @param horizonS the latest time that is distinguished from {@code NEVER_FREE_S}
   */
  HeldTaskSlots(List<double[]> freeAtS, double horizonS) {
    edgesS = new double[EDGE_COUNT];
    for (int i = 0; i < EDGE_COUNT - 1; i++) {
      // Edges are denser at early times, where plans differ most.
      double fraction = i / (double) (EDGE_COUNT - 2);
      edgesS[i] = horizonS * fraction * fraction;
    }
    edgesS[EDGE_COUNT - 1] = NEVER_FREE_S;
    slotsAtEdgeByMachineCount = new int[freeAtS.size() + 1][];
    slotsAtEdgeByMachineCount[0] = new int[EDGE_COUNT];
    for (int m = 0; m < freeAtS.size(); m++) {
      int[] slotsAtEdge = slotsAtEdgeByMachineCount[m].clone();
      for (double slotFreeAtS : freeAtS.get(m)) {
        slotsAtEdge[edgeIndex(slotFreeAtS)]++;
      }
      slotsAtEdgeByMachineCount[m + 1] = slotsAtEdge;
    }
  }

  private int edgeIndex(double timeS) {
    int found = Arrays.binarySearch(edgesS, timeS);
    return Math.min(EDGE_COUNT - 1, found >= 0 ? found : -found - 1);
  }

  /** Returns the number of held machines. */
  int machineCount() {
    return slotsAtEdgeByMachineCount.length - 1;
  }

  /**
   * Returns the task slots of the first {@code count} machines. Machines beyond the held ones are
   * new and up after {@code bootS} seconds.
   */
  FreeTaskSlots slotsOf(int count, int slotsPerMachine, double bootS) {
    FreeTaskSlots freeSlots = new FreeTaskSlots();
    int heldCount = Math.min(count, machineCount());
    for (int edge = 0; edge < EDGE_COUNT; edge++) {
      freeSlots.add(edgesS[edge], slotsAtEdgeByMachineCount[heldCount][edge]);
    }
    freeSlots.add(bootS, (count - heldCount) * slotsPerMachine);
    return freeSlots;
  }
}
