package dapplestair.blame;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/** Failures on one machine since a task that began after the first of them completed there. */
final class MachineFailures {
  final long since;

  /** Steps that failed here, by job, of jobs that are not over. */
  final Map<String, IntOpenHashSet> failed = new HashMap<>();

  // The same of jobs that are over, as far as their steps have completed elsewhere.
  private double settledOdds;
  private int settledSteps;
  private int settledJobs;

  MachineFailures(long since) {
    this.since = since;
  }

  void failed(String ref, int step) {
    failed.computeIfAbsent(ref, r -> new IntOpenHashSet(2)).add(step);
  }

  /** A job is over: what so many of its steps say of the machine, in log odds, stays. */
  void settle(double logOdds, int steps) {
    settledOdds += logOdds;
    settledSteps += steps;
    settledJobs++;
  }

  /** Log odds against the machine by jobs that are over. */
  double settledOdds() {
    return settledOdds;
  }

  /** True when nothing is held against the machine. */
  boolean empty() {
    return failed.isEmpty() && settledJobs == 0;
  }

  /** How many jobs have failed here, whoever is to blame. */
  int jobs() {
    return failed.size() + settledJobs;
  }

  /** Steps that failed here and that nothing explains. */
  int unexplained(Predicate<String> explains) {
    int steps = settledSteps;
    for (Map.Entry<String, IntOpenHashSet> entry : failed.entrySet()) {
      steps += explains.test(entry.getKey()) ? 0 : entry.getValue().size();
    }
    return steps;
  }
}
