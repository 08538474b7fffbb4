package dapplestair.blame;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;

/** What is known of one job whose tasks have failed. */
final class JobFailures {
  // More machines say nothing new of the job.
  private static final int MOST_MACHINES = 64;

  /** Failures by machine, of those not yet explained. */
  final Object2IntOpenHashMap<String> failedOn = new Object2IntOpenHashMap<>();

  /** All failures since this controller leads, and the machines of the last verdict. */
  int failures;

  int machines;

  /** Of those that failed, the longest run, seconds. */
  double longestS;

  void failed(String host, double ranS) {
    failures++;
    longestS = Math.max(longestS, ranS);
    if (failedOn.containsKey(host) || failedOn.size() < MOST_MACHINES) {
      failedOn.addTo(host, 1);
    }
    machines = Math.max(machines, failedOn.size());
  }

  /** Failures on other machines than this one. */
  int elsewhere(String host) {
    int sum = 0;
    for (int count : failedOn.values()) {
      sum += count;
    }
    return sum - failedOn.getInt(host);
  }
}
