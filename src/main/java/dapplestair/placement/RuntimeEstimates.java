package dapplestair.placement;

import dapplestair.ledger.Attempt;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/** How long tasks take: the owners' guesses, corrected by what was seen of each class. */
public final class RuntimeEstimates {
  private static final double SMOOTHING_WEIGHT = 0.1;
  private final Object2DoubleOpenHashMap<String> correctionByClass =
      new Object2DoubleOpenHashMap<>();

  /** No corrections yet. */
  public RuntimeEstimates() {
    correctionByClass.defaultReturnValue(1);
  }

  /** A task of this class took {@code seconds} where its owner guessed otherwise. */
  public void observe(Submission submission, double seconds) {
    if (submission.guessS() <= 0 || seconds <= 0) {
      return;
    }
    // In logarithms, so that twice too long and twice too short weigh the same.
    double ratio = Math.max(0.1, Math.min(10, seconds / submission.guessS()));
    double oldCorrection = correctionByClass.getDouble(submission.jobClass());
    correctionByClass.put(
        submission.jobClass(), oldCorrection * Math.pow(ratio / oldCorrection, SMOOTHING_WEIGHT));
  }

  /** Run time to expect on an ordinary machine. */
  public double expectedRunS(Submission submission) {
    return submission.guessS() * correctionByClass.getDouble(submission.jobClass());
  }

  /** Run time left to an attempt on its machine; what earlier attempts saved counts as done. */
  public double remainingRunS(Attempt attempt, Host host, long nowMs) {
    return Math.max(0, expectedRunS(attempt.spec()) - attempt.savedS()) * host.slowness()
        - attempt.ranS(nowMs);
  }

  /** True when a task that begins on a machine now ends before that is emptied. */
  boolean endsBeforeHostLeaves(Submission submission, Host host, long nowMs) {
    double durationMs =
        1000 * (host.imageWaitS(submission, nowMs) + expectedRunS(submission) * host.slowness());
    return !submission.service() && nowMs + durationMs < host.leavesAt();
  }
}
