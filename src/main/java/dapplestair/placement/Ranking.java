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

/** Which waiting job is placed first. */
final class Ranking {
  private static final double LARGE_BEFORE_S = 1e6;

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

  private record Ranked(Job job, int urgency, boolean borrows, int broken, double order) {}

  /**
   * Waiting jobs: by rank, guaranteed ones before borrowers, then those with the most promises left
   * to keep, the least work first; those with none left, the largest of their class before others,
   * oldest first; those without any, by slack.
   */
  List<Job> ordered() {
    long now = clock.now();
    List<Ranked> waiting = new ArrayList<>();
    for (Job job : ledger.jobs()) {
      // One that fails wherever it runs waits for its probe to end.
      boolean probing = job.suspected() && job.held() > 0;
      if (!job.over()
          && !probing
          && job.heldBackUntil() <= now
          && job.nextFree(0) >= 0
          && !calendars.holds(job)) {
        waiting.add(ranked(job));
      }
    }
    waiting.sort(
        Comparator.comparingInt(Ranked::urgency)
            .thenComparing(r -> !calendars.goesFirst(r.job()))
            .thenComparing(Ranked::borrows)
            .thenComparingInt(Ranked::broken)
            .thenComparingDouble(Ranked::order)
            .thenComparing(r -> r.job().spec().ref()));
    return waiting.stream().map(Ranked::job).toList();
  }

  private Ranked ranked(Job job) {
    Submission submission = job.spec();
    double age = (clock.wall() - job.askedWall()) / 1000.0;
    double run = estimates.runS(submission);
    int broken = objectives.broken(submission, age, run);
    double order;
    if (objectives.allBroken(submission, broken)) {
      // Nobody else's promise is at stake here, and the largest have to begin in time as well.
      order = ledger.served().isLarge(job) ? -LARGE_BEFORE_S - age : -age;
    } else if (broken > 0 || objectives.promised(submission)) {
      order = job.waiting() * submission.cpus() * Math.max(1, run);
    } else {
      order =
          (Double.isFinite(submission.deadlineS()) ? submission.deadlineS() : 10 * run + 60)
              - age
              - run;
    }
    return new Ranked(job, urgency(submission), !guaranteed(job), broken, order);
  }

  private static int urgency(Submission submission) {
    return 2 * submission.rank().ordinal() + (submission.isService() ? 0 : 1);
  }

  /** True when one more of its tasks lies within its team's guarantee. */
  boolean guaranteed(Job job) {
    Settings.Team team = settings.teams().get(job.spec().team());
    return team != null
        && team.cpus() > 0
        && ledger.teamCpus(team.name()) + job.spec().cpus() <= team.cpus() + 1e-6;
  }
}
