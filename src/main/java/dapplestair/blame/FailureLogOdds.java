package dapplestair.blame;

/**
 * The arithmetic of blame, in log odds. A task fails if its job is wrong, or its machine is faulty,
 * or by chance (a noisy OR, Pearl 1988); each side's evidence is discounted by how well the other
 * side explains it, as in the joint estimate of observers and cases by Dawid and Skene (1979).
 */
final class FailureLogOdds {
  // What operators have seen: about one job in 25 is submitted with a mistake, and on a bad day one
  // machine in a hundred fails what it starts. A good task on a good machine hardly ever fails.
  static final double JOB_WRONG = 1 / 25.0;
  static final double MACHINE_FAULTY = 1 / 100.0;
  private static final double CHANCE = 1 / 200.0;

  // How seldom a task of a wrong job, or on a faulty machine, completes all the same.
  private static final double LUCK = 1 / 50.0;

  // A task that outlives those that failed says less than one that completed.
  private static final double OUTLIVED = 1 / 4.0;
  private static final double MOST_OUTLIVED = 6;

  /** A verdict is given at this probability. */
  private static final double SURE = 0.9;

  private FailureLogOdds() {}

  static double logit(double p) {
    return Math.log(p / (1 - p));
  }

  static boolean sure(double logOdds) {
    return logOdds >= logit(SURE);
  }

  /** What a failure says when the other side would explain it with this probability. */
  static double failure(double otherwise) {
    return -Math.log(Math.min(1, otherwise + CHANCE));
  }

  /** The same for the probability's log odds. */
  static double failureUnless(double logOdds) {
    return failure(1 / (1 + Math.exp(-logOdds)));
  }

  /** What so many completions say against a job's being wrong. */
  static double completions(long count) {
    return count * Math.log(LUCK);
  }

  /** What tasks that outlive the failed ones say, as a ratio to those. */
  static double outlived(double ratio) {
    return Math.min(MOST_OUTLIVED, ratio) * Math.log(OUTLIVED);
  }

  /**
   * The rate at which a job's tasks fail on other machines: the mean of a beta posterior, with a
   * prior of two tasks.
   */
  static double rate(int failed, long completed) {
    return (failed + 2 * JOB_WRONG) / (failed + completed + 2.0);
  }
}
