package dapplestair.blame;

/**
 * The arithmetic of fault attribution, in log odds. A task fails because its job is wrong, because
 * its machine is faulty, or by chance (a noisy OR, Pearl 1988); evidence against each side is
 * discounted by how well the other side explains the failure, as in the joint estimate of observers
 * and cases by Dawid and Skene (1979).
 */
final class FailureLogOdds {
  // From operators' experience: about one job in 25 is submitted with a mistake, and on a bad day
  // one machine in a hundred fails what it starts. A good task on a good machine hardly ever fails.
  static final double JOB_WRONG_PROBABILITY = 1 / 25.0;
  static final double MACHINE_FAULTY_PROBABILITY = 1 / 100.0;
  private static final double CHANCE_FAILURE_PROBABILITY = 1 / 200.0;

  // Probability that a task of a wrong job, or on a faulty machine, completes nevertheless.
  private static final double LUCKY_COMPLETION_PROBABILITY = 1 / 50.0;

  // Running longer than the failed tasks is weaker evidence than completing.
  private static final double OUTLIVED_LIKELIHOOD_RATIO = 1 / 4.0;
  private static final double MAX_OUTLIVED = 6;

  /** Probability of a fault from which a verdict is given. */
  private static final double VERDICT_PROBABILITY = 0.9;

  private FailureLogOdds() {}

  static double logit(double probability) {
    return Math.log(probability / (1 - probability));
  }

  static boolean isSure(double logOdds) {
    return logOdds >= logit(VERDICT_PROBABILITY);
  }

  /** Returns the evidence of a failure that the other side explains with this probability. */
  static double failureEvidence(double explainedProbability) {
    return -Math.log(Math.min(1, explainedProbability + CHANCE_FAILURE_PROBABILITY));
  }

  /** Returns the evidence of a failure that the other side explains with these log odds. */
  static double failureEvidenceGiven(double explainedLogOdds) {
    return failureEvidence(1 / (1 + Math.exp(-explainedLogOdds)));
  }

  /** Returns the evidence of this many completions, which is against the job's being wrong. */
  static double completionEvidence(long count) {
    return count * Math.log(LUCKY_COMPLETION_PROBABILITY);
  }

  /**
   * Returns the evidence of tasks that outlive the failed ones, given their number divided by the
   * number of failures.
   */
  static double outlivedEvidence(double ratio) {
    return Math.min(MAX_OUTLIVED, ratio) * Math.log(OUTLIVED_LIKELIHOOD_RATIO);
  }

  /**
   * Returns the rate at which a job's tasks fail on other machines: the mean of a beta posterior,
   * with a prior of two tasks.
   */
  static double failureRate(int failed, long completed) {
    return (failed + 2 * JOB_WRONG_PROBABILITY) / (failed + completed + 2.0);
  }
}
