package dapplestair.planning;

import java.util.Arrays;

/** Lanes of one slot in a dry run: how many become free when, in order of time. */
final class FreeTaskSlots {
  private double[] at = new double[48];
  private int[] lanes = new int[48];
  private int size;
  private int total;

  /** So many lanes more are free from this moment on. */
  void add(double moment, int count) {
    if (count <= 0) {
      return;
    }
    total += count;
    int i = Arrays.binarySearch(at, 0, size, moment);
    if (i >= 0) {
      lanes[i] += count;
      return;
    }
    i = -i - 1;
    if (size == at.length) {
      at = Arrays.copyOf(at, 2 * size);
      lanes = Arrays.copyOf(lanes, 2 * size);
    }
    System.arraycopy(at, i, at, i + 1, size - i);
    System.arraycopy(lanes, i, lanes, i + 1, size - i);
    at[i] = moment;
    lanes[i] = count;
    size++;
  }

  /** Lanes in all. */
  int total() {
    return total;
  }

  /** When {@code count} lanes are free; infinity when there are not so many. */
  double start(int count) {
    int sum = 0;
    for (int i = 0; i < size; i++) {
      sum += lanes[i];
      if (sum >= count) {
        return at[i];
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  /** How many lanes are free at this moment. */
  int freeBy(double moment) {
    int sum = 0;
    for (int i = 0; i < size && at[i] <= moment; i++) {
      sum += lanes[i];
    }
    return sum;
  }

  /** Occupies the {@code count} lanes that are free first until {@code end}. */
  void occupy(int count, double end) {
    add(end, remove(count));
  }

  /** Takes up to {@code count} lanes away, those that are free first; returns how many. */
  int remove(int count) {
    int left = count;
    int used = 0;
    while (left > 0 && used < size) {
      int n = Math.min(left, lanes[used]);
      lanes[used] -= n;
      left -= n;
      if (lanes[used] == 0) {
        used++;
      }
    }
    System.arraycopy(at, used, at, 0, size - used);
    System.arraycopy(lanes, used, lanes, 0, size - used);
    size -= used;
    total -= count - left;
    return count - left;
  }
}
