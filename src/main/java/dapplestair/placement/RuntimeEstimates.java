package dapplestair.placement;

import dapplestair.ledger.Attempt;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/**
 * Estimates how long tasks take: the owners' guesses, corrected by the run times observed for each
 * job class.
 */
public final class RuntimeEstimates {
  private static final double SMOOTHING_WEIGHT = 0.1;
  private final Object2DoubleOpenHashMap<String> correctionByClass =
      new Object2DoubleOpenHashMap<>();

  /** Creates estimates without corrections. */
  public RuntimeEstimates() {
    correctionByClass.defaultReturnValue(1);
  }

  /** Records that a task of this class took {@code seconds}, to correct its owner's guess. */
  public void recordRunTime(Submission submission, double seconds) {
    if (submission.estimatedRuntimeS() <= 0 || seconds <= 0) {
      return;
    }
    // Averages the logarithms of the ratios, so that twice too long and twice too short weigh the
    // same.
    double ratio = Math.max(0.1, Math.min(10, seconds / submission.estimatedRuntimeS()));
    double oldCorrection = correctionByClass.getDouble(submission.jobClass());
    correctionByClass.put(
        submission.jobClass(), oldCorrection * Math.pow(ratio / oldCorrection, SMOOTHING_WEIGHT));
  }

  /** Returns the expected run time on an ordinary machine, in seconds. */
  public double expectedRunS(Submission submission) {
    return submission.estimatedRuntimeS() * correctionByClass.getDouble(submission.jobClass());
  }

  /**
   * Returns the remaining run time of an attempt on its machine, in seconds; work saved by earlier
   * attempts counts as done.
   */
  public double remainingRunS(Attempt attempt, Host host, long nowMs) {
    return Math.max(0, expectedRunS(attempt.spec()) - attempt.savedS()) * host.slowness()
        - attempt.runTimeS(nowMs);
  }

  /** Returns whether a task that begins on the machine now ends before that machine is emptied. */
  boolean endsBeforeHostLeaves(Submission submission, Host host, long nowMs) {
    double durationMs =
        1000 * (host.imageWaitS(submission, nowMs) + expectedRunS(submission) * host.slowness());
    return !submission.isService() && nowMs + durationMs < host.drainAt();
  }
}
