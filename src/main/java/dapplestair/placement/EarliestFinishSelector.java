package dapplestair.placement;

import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Clock;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** Where a task completes earliest, its image's fetch included. */
final class EarliestFinishSelector {
  private static final double FAILED_HERE_S = 1e4;

  // What stands against this job there, and not against others of its size.
  private static final Set<PlacementVerdict> ROOM_FOR_OTHERS =
      EnumSet.of(PlacementVerdict.SPREAD, PlacementVerdict.TOGETHER, PlacementVerdict.FAILED_HERE);

  private final Clock clock;
  private final Ledger ledger;
  private final RuntimeEstimates estimates;
  private final SteadyCapacity steady;
  private final PlacementFilter filter;
  private final Reservations reservations;
  private final List<NoRoom> noRoom = new ArrayList<>();

  EarliestFinishSelector(
      Clock clock,
      Ledger ledger,
      RuntimeEstimates estimates,
      SteadyCapacity steady,
      PlacementFilter filter,
      Reservations reservations) {
    this.clock = clock;
    this.ledger = ledger;
    this.estimates = estimates;
    this.steady = steady;
    this.filter = filter;
    this.reservations = reservations;
  }

  /** A turn begins. */
  void begin() {
    noRoom.clear();
  }

  /** The best of these machines for the job's next task, or null. */
  Host best(Job job, List<Host> usable, boolean explain) {
    Submission submission = job.spec();
    // What is kept for a job is room for it alone, so others' search says nothing.
    boolean keeps = reservations.holds(job);
    if (!ledger.teamAllows(submission)
        || !keeps && noRoom.stream().anyMatch(n -> n.covers(submission))) {
      return null;
    }
    Host best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    boolean room = false;
    for (Host host : usable) {
      PlacementVerdict verdict = filter.filter(job, host, explain);
      if (verdict == PlacementVerdict.FITS) {
        room = true;
        double score = score(job, host);
        if (score < bestScore) {
          bestScore = score;
          best = host;
        }
      } else if (ROOM_FOR_OTHERS.contains(verdict)) {
        room = true;
      }
    }
    if (!room && !keeps) {
      noRoom.add(new NoRoom(submission));
    }
    return best;
  }

  /** A size for which no machine had room in this turn: nothing larger of its kind finds any. */
  private record NoRoom(Submission of) {
    boolean covers(Submission submission) {
      return submission.cpus() >= of.cpus()
          && submission.memoryGb() >= of.memoryGb()
          && submission.gpus() >= of.gpus()
          && submission.spot() == of.spot()
          && submission.isService() == of.isService()
          && (of.zone() == null || of.zone().equals(submission.zone()))
          && (of.types() == null || of.types().equals(submission.types()));
    }
  }

  /** Seconds until completion there; ties go to cheap, then to full machines. */
  private double score(Job job, Host host) {
    Submission submission = job.spec();
    double fetch = host.imageWaitS(submission, clock.now());
    double run = submission.isService() ? 0 : estimates.runS(submission) * host.slowness();
    double tieBreak = host.cpusFree() / host.type().cpus();
    if (submission.isService()) {
      // Replicas gather on few machines, so that the others can become idle.
      tieBreak = 1 - host.serviceCpus() / host.type().cpus();
      if (submission.apart()) {
        // The fullest zone last: room that is left in one zone alone is none for half of a job.
        tieBreak += steady.fullness(host.zone());
      }
    }
    if (!submission.isService() && !host.spot()) {
      // Steady machines are left to those who need them, if completion is about the same.
      tieBreak += 1;
    }
    // Where it failed before, it expects to fail again: any other machine completes it earlier.
    double again = ledger.failedOn(job, host) ? FAILED_HERE_S : 0;
    // Nobody knows yet who is to blame for those: each may cost a second run.
    again += host.failures() * (1 + run);
    return fetch + run + tieBreak + again;
  }
}
