package dapplestair.planning;

import java.util.Arrays;

/** Task slots of one machine kind in a dry run, by the time at which they become free. */
final class FreeTaskSlots {
  private double[] freeAtS = new double[48];
  private int[] slotCounts = new int[48];
  private int entryCount;
  private int totalSlots;

  /** Adds {@code count} task slots that are free from the given time on. */
  void add(double timeS, int count) {
    if (count <= 0) {
      return;
    }
    totalSlots += count;
    int i = Arrays.binarySearch(freeAtS, 0, entryCount, timeS);
    if (i >= 0) {
      slotCounts[i] += count;
      return;
    }
    i = -i - 1;
    if (entryCount == freeAtS.length) {
      freeAtS = Arrays.copyOf(freeAtS, 2 * entryCount);
      slotCounts = Arrays.copyOf(slotCounts, 2 * entryCount);
    }
    System.arraycopy(freeAtS, i, freeAtS, i + 1, entryCount - i);
    System.arraycopy(slotCounts, i, slotCounts, i + 1, entryCount - i);
    freeAtS[i] = timeS;
    slotCounts[i] = count;
    entryCount++;
  }

  /** Returns the total number of task slots. */
  int totalSlots() {
    return totalSlots;
  }

  /** Returns when {@code count} task slots are free, or infinity if there are fewer in total. */
  double earliestStartS(int count) {
    int sum = 0;
    for (int i = 0; i < entryCount; i++) {
      sum += slotCounts[i];
      if (sum >= count) {
        return freeAtS[i];
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  /** Returns the number of task slots that are free at the given time. */
  int countFreeBy(double timeS) {
    int sum = 0;
    for (int i = 0; i < entryCount && freeAtS[i] <= timeS; i++) {
      sum += slotCounts[i];
    }
    return sum;
  }

  /** Occupies the {@code count} task slots that become free first until {@code endS}. */
  void occupy(int count, double endS) {
    add(endS, remove(count));
  }

  /**
   * Removes up to {@code count} task slots, those that become free first, and returns how many it
   * removed.
   */
  int remove(int count) {
    int remaining = count;
    int emptied = 0;
    while (remaining > 0 && emptied < entryCount) {
      int taken = Math.min(remaining, slotCounts[emptied]);
      slotCounts[emptied] -= taken;
      remaining -= taken;
      if (slotCounts[emptied] == 0) {
        emptied++;
      }
    }
    System.arraycopy(freeAtS, emptied, freeAtS, 0, entryCount - emptied);
    System.arraycopy(slotCounts, emptied, slotCounts, 0, entryCount - emptied);
    entryCount -= emptied;
    totalSlots -= count - remaining;
    return count - remaining;
  }
}
