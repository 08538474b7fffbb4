package dapplestair.settings;

import dapplestair.work.Rank;
import dapplestair.work.Submission;
import java.util.Set;

/**
 * A lane: jobs of some classes, its riders, always take precedence over jobs of other classes. Only
 * jobs of at least {@code rank} are riders, and they preempt only jobs of at most {@code overRank},
 * which is lower. The protocol's rule on preemption therefore holds whatever users submit.
 *
 * @param riders classes whose jobs are riders
 * @param teams teams whose jobs may be riders; an empty set means all teams
 * @param over classes whose jobs riders may preempt
 * @param reserveCpus CPUs of steady machines that are kept free of tasks that cannot stop in time
 * @param beginWithinMs time within which a rider is to begin
 */
public record Lane(
    String name,
    Set<String> riders,
    Set<String> teams,
    Set<String> over,
    Rank rank,
    Rank overRank,
    double reserveCpus,
    long beginWithinMs) {

  /** Returns whether a job is a rider of this lane. */
  public boolean isRider(Submission submission) {
    return riders.contains(submission.jobClass())
        && (teams.isEmpty() || teams.contains(submission.team()))
        && !rank.outranks(submission.rank());
  }

  /** Returns whether the riders of this lane may preempt a job. */
  public boolean isPreemptible(Submission submission) {
    return over.contains(submission.jobClass()) && !submission.rank().outranks(overRank);
  }

  /**
   * Returns the seconds that a preempted task is given to save its progress; 0 if saving would take
   * longer than a rider may wait to begin.
   */
  public double windDownS(Submission submission) {
    double savingS = submission.savesProgress() ? 2 * submission.saveDurationS() : 0;
    return 1000 * savingS <= beginWithinMs ? savingS : 0;
  }

  /** Returns whether a task can stop within the time of this lane without losing its progress. */
  public boolean canStopInTime(Submission submission) {
    return !submission.savesProgress() || windDownS(submission) > 0;
  }
}
