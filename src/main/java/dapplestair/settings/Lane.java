package dapplestair.settings;

import dapplestair.work.Rank;
import dapplestair.work.Submission;
import java.util.Set;

/**
 * Classes of jobs that always go over others. Only jobs of at least {@code rank} ride, and only
 * over jobs of at most {@code overRank}, which is lower: so the protocol's rule on preemption holds
 * whatever users submit.
 *
 * @param teams whose jobs ride; all with an empty set
 * @param reserveCpus of steady machines, kept free of what cannot be gone in time
 * @param beginWithinMs how soon a rider is to begin
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

  /** True when this job rides here. */
  public boolean isRider(Submission submission) {
    return riders.contains(submission.jobClass())
        && (teams.isEmpty() || teams.contains(submission.team()))
        && !rank.above(submission.rank());
  }

  /** True when this job is one that riders go over. */
  public boolean isPreemptible(Submission submission) {
    return over.contains(submission.jobClass()) && !submission.rank().above(overRank);
  }

  /** Seconds that a task is given to save before it makes room; 0 when that would be too long. */
  public double windDownS(Submission submission) {
    double savingS = submission.saves() ? 2 * submission.saveS() : 0;
    return 1000 * savingS <= beginWithinMs ? savingS : 0;
  }

  /** True when a task can be gone within the lane's time with all that it has done. */
  public boolean canStopInTime(Submission submission) {
    return !submission.saves() || windDownS(submission) > 0;
  }
}
