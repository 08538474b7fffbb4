package dapplestair.planning;

import java.util.Arrays;
import java.util.List;

/**
 * When the lanes of a slot's held machines become free, summed up so that the price of one
 * evaluation does not grow with the fleet: times are rounded up to a few edges, and for every
 * number of machines the lanes free at each edge are known beforehand.
 */
final class HeldTaskSlots {
  private static final int EDGES = 32;

  /** Lanes that services occupy count as free only after this. */
  static final double FOR_EVER_S = 1e6;

  private final double[] edges;
  private final int[][] firstMachines;

  /**
   * Machines in the order in which plans keep them.
   *
   * @param freeAtS for each machine, when each of its lanes is free, from now
   * @param horizonS the last moment to tell apart from for ever
   */
  HeldTaskSlots(List<double[]> freeAtS, double horizonS) {
    edges = new double[EDGES];
    for (int i = 0; i < EDGES - 1; i++) {
      // Finer near now, where plans differ most.
      double part = i / (double) (EDGES - 2);
      edges[i] = horizonS * part * part;
    }
    edges[EDGES - 1] = FOR_EVER_S;
    firstMachines = new int[freeAtS.size() + 1][];
    firstMachines[0] = new int[EDGES];
    for (int m = 0; m < freeAtS.size(); m++) {
      int[] sum = firstMachines[m].clone();
      for (double at : freeAtS.get(m)) {
        sum[edge(at)]++;
      }
      firstMachines[m + 1] = sum;
    }
  }

  private int edge(double at) {
    int found = Arrays.binarySearch(edges, at);
    return Math.min(EDGES - 1, found >= 0 ? found : -found - 1);
  }

  /** Machines held. */
  int machines() {
    return firstMachines.length - 1;
  }

  /**
   * The lanes of the first {@code count} machines, and of new ones that are up after {@code bootS}.
   */
  FreeTaskSlots free(int count, int lanesPerMachine, double bootS) {
    FreeTaskSlots out = new FreeTaskSlots();
    int held = Math.min(count, machines());
    for (int e = 0; e < EDGES; e++) {
      out.add(edges[e], firstMachines[held][e]);
    }
    out.add(bootS, (count - held) * lanesPerMachine);
    return out;
  }
}
