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
  private static final double FAILED_HERE_PENALTY_S = 1e4;

  // What stands against this job there, and not against others of its size.
  private static final Set<PlacementVerdict> JOB_SPECIFIC_VERDICTS =
      EnumSet.of(PlacementVerdict.SPREAD, PlacementVerdict.TOGETHER, PlacementVerdict.FAILED_HERE);

  private final Clock clock;
  private final Ledger ledger;
  private final RuntimeEstimates estimates;
  private final SteadyCapacity steadyCapacity;
  private final PlacementFilter filter;
  private final Reservations reservations;
  private final List<UnplaceableSize> sizesWithoutRoom = new ArrayList<>();

  EarliestFinishSelector(
      Clock clock,
      Ledger ledger,
      RuntimeEstimates estimates,
      SteadyCapacity steadyCapacity,
      PlacementFilter filter,
      Reservations reservations) {
    this.clock = clock;
    this.ledger = ledger;
    this.estimates = estimates;
    this.steadyCapacity = steadyCapacity;
    this.filter = filter;
    this.reservations = reservations;
  }

  /** A turn begins. */
  void beginTurn() {
    sizesWithoutRoom.clear();
  }

  /** The best of these machines for the job's next task, or null. */
  Host selectHost(Job job, List<Host> usable, boolean explain) {
    Submission submission = job.spec();
    // What is kept for a job is room for it alone, so others' search says nothing.
    boolean hasReservation = reservations.hasReservation(job);
    if (!ledger.teamAllows(submission)
        || !hasReservation && sizesWithoutRoom.stream().anyMatch(n -> n.covers(submission))) {
      return null;
    }
    Host bestHost = null;
    double bestScore = Double.POSITIVE_INFINITY;
    boolean roomFound = false;
    for (Host host : usable) {
      PlacementVerdict verdict = filter.filter(job, host, explain);
      if (verdict == PlacementVerdict.FITS) {
        roomFound = true;
        double score = completionScore(job, host);
        if (score < bestScore) {
          bestScore = score;
          bestHost = host;
        }
      } else if (JOB_SPECIFIC_VERDICTS.contains(verdict)) {
        roomFound = true;
      }
    }
    if (!roomFound && !hasReservation) {
      sizesWithoutRoom.add(new UnplaceableSize(submission));
    }
    return bestHost;
  }

  /** A size for which no machine had room in this turn: nothing larger of its kind finds any. */
  private record UnplaceableSize(Submission rejected) {
    boolean covers(Submission submission) {
      return submission.cpus() >= rejected.cpus()
          && submission.memoryGb() >= rejected.memoryGb()
          && submission.gpus() >= rejected.gpus()
          && submission.spot() == rejected.spot()
          && submission.service() == rejected.service()
          && (rejected.zone() == null || rejected.zone().equals(submission.zone()))
          && (rejected.types() == null || rejected.types().equals(submission.types()));
    }
  }

  /** Seconds until completion there; ties go to cheap, then to full machines. */
  private double completionScore(Job job, Host host) {
    Submission submission = job.spec();
    double fetchS = host.imageWaitS(submission, clock.now());
    double runS = submission.service() ? 0 : estimates.expectedRunS(submission) * host.slowness();
    double tieBreak = host.cpusFree() / host.type().cpus();
    if (submission.service()) {
      // Replicas gather on few machines, so that the others can become idle.
      tieBreak = 1 - host.serviceCpus() / host.type().cpus();
      if (submission.apart()) {
        // The fullest zone last: room that is left in one zone alone is none for half of a job.
        tieBreak += steadyCapacity.fullness(host.zone());
      }
    }
    if (!submission.service() && !host.spot()) {
      // Steady machines are left to those who need them, if completion is about the same.
      tieBreak += 1;
    }
    // Where it failed before, it expects to fail again: any other machine completes it earlier.
    double failurePenaltyS = ledger.failedOn(job, host) ? FAILED_HERE_PENALTY_S : 0;
    // Nobody knows yet who is to blame for those: each may cost a second run.
    failurePenaltyS += host.failures() * (1 + runS);
    return fetchS + runS + tieBreak + failurePenaltyS;
  }
}
