package dapplestair.blame;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Failures on one machine. They are forgotten when a task that began there after the first failure
 * completes.
 */
final class MachineFailures {
  final long sinceMs;

  /** Steps that failed here, by job, for jobs that are not over. */
  final Map<String, IntOpenHashSet> failedStepsByJob = new HashMap<>();

  // Evidence of jobs that are over, from failed steps that completed elsewhere.
  private double settledLogOdds;
  private int settledSteps;
  private int settledJobs;

  MachineFailures(long sinceMs) {
    this.sinceMs = sinceMs;
  }

  void recordFailure(String ref, int step) {
    failedStepsByJob.computeIfAbsent(ref, r -> new IntOpenHashSet(2)).add(step);
  }

  /** Keeps the evidence of a job that is over: the log odds from this many of its steps. */
  void settleJob(double logOdds, int steps) {
    settledLogOdds += logOdds;
    settledSteps += steps;
    settledJobs++;
  }

  /** Returns the log odds against the machine from jobs that are over. */
  double settledLogOdds() {
    return settledLogOdds;
  }

  /** Returns whether nothing is held against the machine. */
  boolean isEmpty() {
    return failedStepsByJob.isEmpty() && settledJobs == 0;
  }

  /** Returns how many jobs have failed here, whoever is to blame. */
  int jobCount() {
    return failedStepsByJob.size() + settledJobs;
  }

  /** Returns the number of steps that failed here and whose failure no job's verdict explains. */
  int countUnexplainedSteps(Predicate<String> isExplained) {
    int steps = settledSteps;
    for (Map.Entry<String, IntOpenHashSet> entry : failedStepsByJob.entrySet()) {
      steps += isExplained.test(entry.getKey()) ? 0 : entry.getValue().size();
    }
    return steps;
  }
}
