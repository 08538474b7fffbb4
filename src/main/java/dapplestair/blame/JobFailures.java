package dapplestair.blame;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;

/** What is known of one job whose tasks have failed. */
final class JobFailures {
  // More machines say nothing new of the job.
  private static final int MAX_MACHINES = 64;

  /** Failures by machine, of those not yet explained. */
  final Object2IntOpenHashMap<String> failuresByHost = new Object2IntOpenHashMap<>();

  /** All failures since this controller leads, and the machines of the last verdict. */
  int failureCount;

  int machineCount;

  /** Of those that failed, the longest run, seconds. */
  double longestRunS;

  void recordFailure(String hostId, double ranS) {
    failureCount++;
    longestRunS = Math.max(longestRunS, ranS);
    if (failuresByHost.containsKey(hostId) || failuresByHost.size() < MAX_MACHINES) {
      failuresByHost.addTo(hostId, 1);
    }
    machineCount = Math.max(machineCount, failuresByHost.size());
  }

  /** Failures on other machines than this one. */
  int failuresElsewhere(String hostId) {
    int total = 0;
    for (int count : failuresByHost.values()) {
      total += count;
    }
    return total - failuresByHost.getInt(hostId);
  }
}
