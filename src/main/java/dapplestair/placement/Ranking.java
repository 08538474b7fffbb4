package dapplestair.placement;

import dapplestair.calendar.Calendars;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.work.Submission;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Orders the waiting jobs for placement. */
final class Ranking {
  private static final double LARGE_JOB_LEAD_S = 1e6;

  private final Clock clock;
  private final Settings settings;
  private final Ledger ledger;
  private final RuntimeEstimates estimates;
  private final ServiceObjectives objectives;
  private final Calendars calendars;

  Ranking(
      Clock clock,
      Settings settings,
      Ledger ledger,
      RuntimeEstimates estimates,
      Calendars calendars) {
    this.calendars = calendars;
    this.clock = clock;
    this.settings = settings;
    this.ledger = ledger;
    this.estimates = estimates;
    this.objectives = new ServiceObjectives(settings.objectives());
  }

  private record Ranked(
      Job job, int urgency, boolean exceedsGuarantee, int brokenObjectives, double sortKey) {}

  /**
   * Returns the waiting jobs in the order of placement: by rank, services first within a rank; then
   * the runs of the last released cycle of a calendar; then jobs within their team's guarantee
   * before those that borrow; then the jobs with the fewest objectives missed, those with the least
   * work first. Among jobs whose objectives are all missed, the largest of their class go first,
   * oldest first; jobs without objectives are ordered by slack.
   */
  List<Job> orderedJobs() {
    long nowMs = clock.now();
    List<Ranked> waiting = new ArrayList<>();
    for (Job job : ledger.jobs()) {
      // A job that fails wherever it runs waits until its probe has ended.
      boolean probing = job.isSuspected() && job.heldAttempts() > 0;
      if (!job.isOver()
          && !probing
          && job.startsDelayedUntilMs() <= nowMs
          && job.nextStartableStep(0) >= 0
          && !calendars.isHeld(job)) {
        waiting.add(toRanked(job));
      }
    }
    waiting.sort(
        Comparator.comparingInt(Ranked::urgency)
            .thenComparing(r -> !calendars.isRunOfLastReleasedCycle(r.job()))
            .thenComparing(Ranked::exceedsGuarantee)
            .thenComparingInt(Ranked::brokenObjectives)
            .thenComparingDouble(Ranked::sortKey)
            .thenComparing(r -> r.job().spec().ref()));
    return waiting.stream().map(Ranked::job).toList();
  }

  private Ranked toRanked(Job job) {
    Submission submission = job.spec();
    double ageS = (clock.wall() - job.firstRequestWallMs()) / 1000.0;
    double runS = estimates.expectedRunS(submission);
    int brokenObjectives = objectives.countBroken(submission, ageS, runS);
    double sortKey;
    if (objectives.allBroken(submission, brokenObjectives)) {
      // The order among these jobs decides about no objective any more, and the largest must begin
      // in time as well.
      sortKey = ledger.jobStatistics().isLarge(job) ? -LARGE_JOB_LEAD_S - ageS : -ageS;
    } else if (brokenObjectives > 0 || objectives.hasObjectives(submission)) {
      sortKey = job.waitingTasks() * submission.cpus() * Math.max(1, runS);
    } else {
      sortKey =
          (Double.isFinite(submission.deadlineS()) ? submission.deadlineS() : 10 * runS + 60)
              - ageS
              - runS;
    }
    return new Ranked(job, urgency(submission), !isWithinGuarantee(job), brokenObjectives, sortKey);
  }

  private static int urgency(Submission submission) {
    return 2 * submission.rank().ordinal() + (submission.isService() ? 0 : 1);
  }

  /** Returns whether one more task of the job stays within its team's guarantee. */
  boolean isWithinGuarantee(Job job) {
    Settings.Team team = settings.teams().get(job.spec().team());
    return team != null
        && team.cpus() > 0
        && ledger.teamCpus(team.name()) + job.spec().cpus() <= team.cpus() + 1e-6;
  }
}
