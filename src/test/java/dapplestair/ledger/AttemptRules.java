package dapplestair.ledger;

import dapplestair.json.Json;
import dapplestair.work.Report;
import dapplestair.work.Submission;

/** Gives the model in package {@code model} access to the ledger's rules for single attempts. */
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

  /** Returns a service with this reference. */
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

  /** Returns an attempt that the leader itself has planned. */
  public static Attempt planned(long number, String host, long session) {
    return new Attempt(JOB, 0, number, host, "a", session, 0);
  }

  /** Returns an attempt that was launched and whose launch's outcome is known. */
  public static Attempt launched(Job job, int step, String host) {
    Attempt attempt = new Attempt(job, step, 1, host, "a", 1, 0);
    attempt.markSeenOnMachine();
    return attempt;
  }

  /** Marks an attempt's record as written. */
  public static void markCommitted(Attempt attempt) {
    attempt.phase = Attempt.Phase.COMMITTED;
  }

  /** Returns an attempt that a leader of this term reads from the records. */
  public static Attempt adopted(long number, String host, long session, long term) {
    Attempt attempt = planned(number, host, session);
    attempt.markAdopted(term);
    return attempt;
  }

  /** Returns a copy of an attempt that may be changed independently. */
  public static Attempt copy(Attempt attempt) {
    Attempt copy = planned(attempt.number, attempt.host, attempt.session);
    copy.phase = attempt.phase;
    copy.neededToken = attempt.neededToken;
    return copy;
  }

  /** Returns true if the attempt's record is not written yet. */
  public static boolean planned(Attempt attempt) {
    return attempt.phase == Attempt.Phase.PLANNED;
  }

  /** Returns the least token with which a report proves the attempt's absence. */
  public static long neededToken(Attempt attempt) {
    return attempt.neededToken;
  }

  /** Marks an attempt as shown by a report. */
  public static void markSeenOnMachine(Attempt attempt) {
    attempt.markSeenOnMachine();
  }

  /** Returns whether the ledger concludes from this report that the attempt is absent. */
  public static boolean provesAbsence(Attempt attempt, Report report) {
    return AttemptReconciler.provesAbsence(attempt, report);
  }
}
