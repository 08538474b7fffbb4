package dapplestair.blame;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/** Failures on one machine since a task that began after the first of them completed there. */
final class MachineFailures {
  final long sinceMs;

  /** Steps that failed here, by job, of jobs that are not over. */
  final Map<String, IntOpenHashSet> failedStepsByJob = new HashMap<>();

  // The same of jobs that are over, as far as their steps have completed elsewhere.
  private double settledLogOdds;
  private int settledSteps;
  private int settledJobs;

  MachineFailures(long sinceMs) {
    this.sinceMs = sinceMs;
  }

  void recordFailure(String ref, int step) {
    failedStepsByJob.computeIfAbsent(ref, r -> new IntOpenHashSet(2)).add(step);
  }

  /** A job is over: what so many of its steps say of the machine, in log odds, stays. */
  void settleJob(double logOdds, int steps) {
    settledLogOdds += logOdds;
    settledSteps += steps;
    settledJobs++;
  }

  /** Log odds against the machine by jobs that are over. */
  double settledLogOdds() {
    return settledLogOdds;
  }

  /** True when nothing is held against the machine. */
  boolean isEmpty() {
    return failedStepsByJob.isEmpty() && settledJobs == 0;
  }

  /** How many jobs have failed here, whoever is to blame. */
  int jobCount() {
    return failedStepsByJob.size() + settledJobs;
  }

  /** Steps that failed here and that nothing explains. */
  int countUnexplainedSteps(Predicate<String> isExplained) {
    int steps = settledSteps;
    for (Map.Entry<String, IntOpenHashSet> entry : failedStepsByJob.entrySet()) {
      steps += isExplained.test(entry.getKey()) ? 0 : entry.getValue().size();
    }
    return steps;
  }
}
