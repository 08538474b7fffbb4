package dapplestair.placement;

import dapplestair.ledger.Attempt;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/** How long tasks take: the owners' guesses, corrected by what was seen of each class. */
public final class RuntimeEstimates {
  private static final double WEIGHT = 0.1;
  private final Object2DoubleOpenHashMap<String> correction = new Object2DoubleOpenHashMap<>();

  /** No corrections yet. */
  public RuntimeEstimates() {
    correction.defaultReturnValue(1);
  }

  /** A task of this class took {@code seconds} where its owner guessed otherwise. */
  public void observe(Submission submission, double seconds) {
    if (submission.estimatedRuntimeS() <= 0 || seconds <= 0) {
      return;
    }
    // In logarithms, so that twice too long and twice too short weigh the same.
    double ratio = Math.max(0.1, Math.min(10, seconds / submission.estimatedRuntimeS()));
    double old = correction.getDouble(submission.jobClass());
    correction.put(submission.jobClass(), old * Math.pow(ratio / old, WEIGHT));
  }

  /** Run time to expect on an ordinary machine. */
  public double runS(Submission submission) {
    return submission.estimatedRuntimeS() * correction.getDouble(submission.jobClass());
  }

  /** Run time left to an attempt on its machine; what earlier attempts saved counts as done. */
  public double leftS(Attempt attempt, Host host, long now) {
    return Math.max(0, runS(attempt.spec()) - attempt.savedS()) * host.slowness()
        - attempt.ranS(now);
  }

  /** True when a task that begins on a machine now ends before that is emptied. */
  boolean endsBefore(Submission submission, Host host, long now) {
    double ms = 1000 * (host.imageWaitS(submission, now) + runS(submission) * host.slowness());
    return !submission.isService() && now + ms < host.drainAt();
  }
}
