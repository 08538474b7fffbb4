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

/**
 * Selects the machine on which a task completes earliest, including the time to fetch its image.
 */
final class EarliestFinishSelector {
  private static final double FAILED_HERE_PENALTY_S = 1e4;

  // Obstacles that concern this job alone: other jobs of its size may still fit on the machine.
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

  /** Forgets the sizes that did not fit in the previous turn. */
  void beginTurn() {
    sizesWithoutRoom.clear();
  }

  /** Returns the best of these machines for the job's next task, or null. */
  Host selectHost(Job job, List<Host> usableHosts, boolean explain) {
    Submission submission = job.spec();
    // A job may use machines that are reserved for it alone, so failed searches of other jobs do
    // not apply to it.
    boolean hasReservation = reservations.hasReservation(job);
    if (!ledger.teamAllows(submission)
        || !hasReservation && sizesWithoutRoom.stream().anyMatch(n -> n.covers(submission))) {
      return null;
    }
    Host bestHost = null;
    double bestScore = Double.POSITIVE_INFINITY;
    boolean roomFound = false;
    for (Host host : usableHosts) {
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

  /**
   * A task size that no machine could take in this turn: no larger task with the same constraints
   * fits.
   */
  private record UnplaceableSize(Submission rejected) {
    boolean covers(Submission submission) {
      return submission.cpus() >= rejected.cpus()
          && submission.memoryGb() >= rejected.memoryGb()
          && submission.gpus() >= rejected.gpus()
          && submission.spot() == rejected.spot()
          && submission.isService() == rejected.isService()
          && (rejected.zone() == null || rejected.zone().equals(submission.zone()))
          && (rejected.types() == null || rejected.types().equals(submission.types()));
    }
  }

  /**
   * Returns the seconds until completion on the machine, plus penalties and a tie-break that
   * prefers spot machines for batch tasks, then full machines.
   */
  private double completionScore(Job job, Host host) {
    Submission submission = job.spec();
    double fetchS = host.imageWaitS(submission, clock.now());
    double runS = submission.isService() ? 0 : estimates.expectedRunS(submission) * host.slowness();
    double tieBreak = host.cpusFree() / host.type().cpus();
    if (submission.isService()) {
      // Replicas are packed on few machines, so that the others can become idle.
      tieBreak = 1 - host.serviceCpus() / host.type().cpus();
      if (submission.apart()) {
        // The fullest zone comes last: a job that has to spread over zones cannot use capacity that
        // is left in a single zone for more than half of its tasks.
        tieBreak += steadyCapacity.fullness(host.zone());
      }
    }
    if (!submission.isService() && !host.spot()) {
      // When the completion times are about the same, steady machines are left to the jobs that
      // need them.
      tieBreak += 1;
    }
    // A job that failed on a machine is expected to fail there again, so any other machine
    // completes it earlier.
    double failurePenaltyS = ledger.hasFailedOn(job, host) ? FAILED_HERE_PENALTY_S : 0;
    // Failures on this machine that are not yet attributed to a job or to the machine: each may
    // cost a second run.
    failurePenaltyS += host.failures() * (1 + runS);
    return fetchS + runS + tieBreak + failurePenaltyS;
  }
}
