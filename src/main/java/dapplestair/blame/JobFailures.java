package dapplestair.blame;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;

/** Evidence about one job whose tasks have failed. */
final class JobFailures {
  // Failures on further machines add no evidence about the job.
  private static final int MAX_MACHINES = 64;

  /** Failures that are not yet explained, by machine. */
  final Object2IntOpenHashMap<String> failuresByHost = new Object2IntOpenHashMap<>();

  /** The number of all failures since this controller began to lead. */
  int failureCount;

  /** The largest number of machines on which unexplained failures were recorded at once. */
  int machineCount;

  /** The longest run time of a failed task, in seconds. */
  double longestRunS;

  void recordFailure(String hostId, double ranS) {
    failureCount++;
    longestRunS = Math.max(longestRunS, ranS);
    if (failuresByHost.containsKey(hostId) || failuresByHost.size() < MAX_MACHINES) {
      failuresByHost.addTo(hostId, 1);
    }
    machineCount = Math.max(machineCount, failuresByHost.size());
  }

  /** Returns the number of unexplained failures on other machines than this one. */
  int failuresElsewhere(String hostId) {
    int total = 0;
    for (int count : failuresByHost.values()) {
      total += count;
    }
    return total - failuresByHost.getInt(hostId);
  }
}
