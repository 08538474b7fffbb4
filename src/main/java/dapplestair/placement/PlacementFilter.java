package dapplestair.placement;

import dapplestair.lane.Lanes;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Clock;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Decides which capacity a task may use, by the constraints of its job, its team, the machine and
 * reservations.
 */
final class PlacementFilter {
  // Number of report intervals for which a job avoids a machine on which one of its tasks failed.
  // By then the fault has been attributed to the job or the machine, or capacity elsewhere has
  // become free; otherwise, no task waits for longer than this.
  private static final int AVOID_FAILED_HOST_REPORTS = 10;

  private final Clock clock;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final RuntimeEstimates estimates;
  private final SteadyCapacity steadyCapacity;
  private final Reservations reservations;
  private final Lanes lanes;
  private final long avoidFailedHostMs;
  private double reservedServiceCpus;

  PlacementFilter(
      Clock clock,
      long reportMs,
      Ledger ledger,
      WorkerManager workers,
      RuntimeEstimates estimates,
      SteadyCapacity steadyCapacity,
      Reservations reservations,
      Lanes lanes) {
    this.clock = clock;
    this.avoidFailedHostMs = AVOID_FAILED_HOST_REPORTS * reportMs;
    this.ledger = ledger;
    this.workers = workers;
    this.estimates = estimates;
    this.steadyCapacity = steadyCapacity;
    this.reservations = reservations;
    this.lanes = lanes;
  }

  /**
   * Begins a turn in which {@code cpusForServices} CPUs of steady machines are reserved for
   * services.
   */
  void beginTurn(double cpusForServices) {
    reservedServiceCpus = cpusForServices;
  }

  /** Returns the obstacle to starting a task of the job on this machine now, or {@code FITS}. */
  PlacementVerdict filter(Job job, Host host, boolean explain) {
    Submission submission = job.spec();
    boolean keptForOthers = isKeptForOthers(job, host);
    if (host.fits(submission)
        && host.isAllowedBy(submission)
        && !host.closed()
        && leavesReservedRoom(submission, host)
        && !keptForOthers) {
      if (failedHereRecently(job, host)) {
        return PlacementVerdict.FAILED_HERE;
      }
      if (host.hasProbationTask(clock.now())) {
        return PlacementVerdict.PROBATION;
      }
      if (host.drainAt() != Long.MAX_VALUE
          && !estimates.endsBeforeHostLeaves(submission, host, clock.now())) {
        return PlacementVerdict.LEAVING;
      }
      if (ledger.zoneAllows(job, host.zone())) {
        return PlacementVerdict.FITS;
      }
      return submission.apart() && job.attemptsInZone(host.zone()) >= submission.maxTasksPerZone()
          ? PlacementVerdict.SPREAD
          : PlacementVerdict.TOGETHER;
    }
    // The exact obstacle matters only when somebody asked for an explanation.
    return explain ? findObstacle(submission, host, keptForOthers) : PlacementVerdict.FULL;
  }

  /**
   * Returns whether a task of the job failed on this machine recently. A machine that fails the
   * tasks it starts is the first one with free capacity again, so the job's other tasks would fail
   * there one after another. A job that fails wherever it runs is exempt: it runs one task at a
   * time anyway.
   */
  private boolean failedHereRecently(Job job, Host host) {
    return !job.isSuspected() && ledger.hasFailedOn(job, host, avoidFailedHostMs);
  }

  /**
   * Returns whether the machine's capacity is promised to other jobs: to a lane's riders, or to a
   * job that has waited for long.
   */
  boolean isKeptForOthers(Job job, Host host) {
    return lanes.isKeptForRiders(job.spec(), host)
        || !lanes.isRider(job.spec()) && reservations.isReservedForOther(job, host);
  }

  /** Filters any machine, including those that a placement turn leaves out. */
  PlacementVerdict filterAnyHost(Job job, Host host) {
    return !host.closed() && !workers.isResponsive(host)
        ? PlacementVerdict.SILENT
        : filter(job, host, true);
  }

  private static PlacementVerdict findObstacle(
      Submission submission, Host host, boolean keptForOthers) {
    if (host.type() == null || !host.isUp() || !host.hasAcknowledgedTerm()) {
      boolean machineAllowed =
          host.type() == null || host.isAllowedBy(submission) || !submission.spot() && host.spot();
      return machineAllowed ? PlacementVerdict.NOT_UP : PlacementVerdict.NOT_ALLOWED;
    }
    if (!host.type().suits(submission)
        || submission.zone() != null && !submission.zone().equals(host.zone())) {
      return PlacementVerdict.NOT_ALLOWED;
    }
    if (!host.isAllowedBy(submission)) {
      return PlacementVerdict.SPOT;
    }
    if (host.isReleasing() || host.isGone()) {
      return PlacementVerdict.RETURNING;
    }
    if (host.isDrainedByOperator()) {
      return PlacementVerdict.DRAINED;
    }
    if (host.isDraining()) {
      return PlacementVerdict.FAULTY;
    }
    if (host.hasReclaimNotice()) {
      return PlacementVerdict.NOTICE;
    }
    if (host.hasStrayTasks()) {
      return PlacementVerdict.STRAYS;
    }
    if (host.isCordoned()) {
      return PlacementVerdict.CORDONED;
    }
    if (host.isOverfull() || !host.fits(submission)) {
      return PlacementVerdict.FULL;
    }
    return keptForOthers ? PlacementVerdict.KEPT : PlacementVerdict.HELD_FOR_SERVICES;
  }

  /** Returns how many more of the job's tasks these machines can take together. */
  int countFitting(Job job, List<Host> hosts) {
    Submission submission = job.spec();
    Map<String, Integer> fittingByZone = new HashMap<>();
    for (Host host : hosts) {
      if (ledger.mayStart(job, host)
          && !isKeptForOthers(job, host)
          && !failedHereRecently(job, host)) {
        fittingByZone.merge(host.zone(), countFittingOn(host, submission), Integer::sum);
      }
    }
    int total = 0;
    for (Map.Entry<String, Integer> zone : fittingByZone.entrySet()) {
      total +=
          Math.min(
              zone.getValue(), submission.maxTasksPerZone() - job.attemptsInZone(zone.getKey()));
    }
    return total;
  }

  private int countFittingOn(Host host, Submission submission) {
    long nowMs = clock.now();
    int fitting = submission.fittingTasks(host.cpusFree(), host.memoryFreeGb(), host.gpusFree());
    if (!host.isOnProbation(nowMs)) {
      return fitting;
    }
    return host.hasProbationTask(nowMs) ? 0 : Math.min(1, fitting);
  }

  /**
   * Returns whether a task of the job would leave reserved capacity untouched. Work that may run on
   * spot machines leaves some capacity on steady ones, so that a replica starts at once and need
   * not wait until other work has saved and stopped; batch tasks leave the reserve of the lanes'
   * riders.
   */
  boolean leavesReservedRoom(Submission submission, Host host) {
    return (submission.isService()
            || !submission.spot()
            || host.spot()
            || steadyCapacity.freeCpus() - submission.cpus() >= reservedServiceCpus)
        && lanes.leavesReserve(submission, host);
  }

  static Map<String, List<Host>> groupByZone(List<Host> hosts) {
    return hosts.stream()
        .collect(Collectors.groupingBy(Host::zone, TreeMap::new, Collectors.toList()));
  }
}
