package dapplestair.blame;

/**
 * The arithmetic of blame, in log odds. A task fails if its job is wrong, or its machine is faulty,
 * or by chance (a noisy OR, Pearl 1988); each side's evidence is discounted by how well the other
 * side explains it, as in the joint estimate of observers and cases by Dawid and Skene (1979).
 */
final class FailureLogOdds {
  // What operators have seen: about one job in 25 is submitted with a mistake, and on a bad day one
  // machine in a hundred fails what it starts. A good task on a good machine hardly ever fails.
  static final double JOB_WRONG_PROBABILITY = 1 / 25.0;
  static final double MACHINE_FAULTY_PROBABILITY = 1 / 100.0;
  private static final double CHANCE_FAILURE_PROBABILITY = 1 / 200.0;

  // How seldom a task of a wrong job, or on a faulty machine, completes all the same.
  private static final double LUCKY_COMPLETION_PROBABILITY = 1 / 50.0;

  // A task that outlives those that failed says less than one that completed.
  private static final double OUTLIVED_LIKELIHOOD_RATIO = 1 / 4.0;
  private static final double MAX_OUTLIVED = 6;

  /** A verdict is given at this probability. */
  private static final double VERDICT_PROBABILITY = 0.9;

  private FailureLogOdds() {}

  static double logit(double probability) {
    return Math.log(probability / (1 - probability));
  }

  static boolean isSure(double logOdds) {
    return logOdds >= logit(VERDICT_PROBABILITY);
  }

  /** What a failure says when the other side would explain it with this probability. */
  static double failureEvidence(double explainedProbability) {
    return -Math.log(Math.min(1, explainedProbability + CHANCE_FAILURE_PROBABILITY));
  }

  /** The same for the probability's log odds. */
  static double failureEvidenceGiven(double explainedLogOdds) {
    return failureEvidence(1 / (1 + Math.exp(-explainedLogOdds)));
  }

  /** What so many completions say against a job's being wrong. */
  static double completionEvidence(long count) {
    return count * Math.log(LUCKY_COMPLETION_PROBABILITY);
  }

  /** What tasks that outlive the failed ones say, as a ratio to those. */
  static double outlivedEvidence(double ratio) {
    return Math.min(MAX_OUTLIVED, ratio) * Math.log(OUTLIVED_LIKELIHOOD_RATIO);
  }

  /**
   * The rate at which a job's tasks fail on other machines: the mean of a beta posterior, with a
   * prior of two tasks.
   */
  static double failureRate(int failed, long completed) {
    return (failed + 2 * JOB_WRONG_PROBABILITY) / (failed + completed + 2.0);
  }
}
