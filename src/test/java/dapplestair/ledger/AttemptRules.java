package dapplestair.ledger;

import dapplestair.json.Json;
import dapplestair.work.Report;
import dapplestair.work.Submission;

/** Opens the ledger's rules for single attempts to the model in package {@code model}. */
public final class AttemptRules {
  public static final String TASK = "wk-1/0";

  private static final Job JOB = new Job(oneTask(), 0, 1, 1);

  private AttemptRules() {}

  private static Submission oneTask() {
    try {
      return spec("wk-1");
    } catch (Submission.InvalidSubmissionException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A service of this name. */
  public static Submission spec(String ref) throws Submission.InvalidSubmissionException {
    return Submission.parse(
        Json.object()
            .put("ref", ref)
            .put("jobclass", "c")
            .put("owner", "t")
            .put("shape", "daemon")
            .put("rank", "critical")
            .put("steps", 12)
            .put("vcpus", 1)
            .put("accelerators", 0)
            .put("memoryGb", 1)
            .put("bundle", "i")
            .put("imageGb", 1)
            .put("together", false)
            .put("apart", false)
            .put("loaners", false)
            .put("guessS", 0)
            .put("snapshotEveryS", 0)
            .put("snapshotS", 0));
  }

  /** An attempt that was planned by the leader itself. */
  public static Attempt planned(long number, String host, long session) {
    return new Attempt(JOB, 0, number, host, "a", session, 0);
  }

  /** An attempt that was launched and whose outcome is known. */
  public static Attempt launched(Job job, int step, String host) {
    Attempt a = new Attempt(job, step, 1, host, "a", 1, 0);
    a.markSeenOnMachine();
    return a;
  }

  /** Its record was written. */
  public static void committed(Attempt a) {
    a.phase = Attempt.Phase.COMMITTED;
  }

  /** An attempt that a leader of this term reads from the records. */
  public static Attempt adopted(long number, String host, long session, long term) {
    Attempt a = planned(number, host, session);
    a.markAdopted(term);
    return a;
  }

  /** The same attempt, to be changed by itself. */
  public static Attempt copy(Attempt a) {
    Attempt copy = planned(a.number, a.host, a.session);
    copy.phase = a.phase;
    copy.neededToken = a.neededToken;
    return copy;
  }

  /** True before its record was written. */
  public static boolean planned(Attempt a) {
    return a.phase == Attempt.Phase.PLANNED;
  }

  /** The least token with which a report proves its absence. */
  public static long neededToken(Attempt a) {
    return a.neededToken;
  }

  /** A report has it. */
  public static void seenOnMachine(Attempt a) {
    a.markSeenOnMachine();
  }

  /** What the product concludes from this report. */
  public static boolean provedAbsent(Attempt a, Report r) {
    return AttemptReconciler.provesAbsence(a, r);
  }
}
