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

/** Which room a task may take: what the job, its team, the machine and kept room say of it. */
final class PlacementFilter {
  // For so long a job stays away from a machine on which one of its tasks failed. By then either
  // side is judged, or other room is free; if not, nothing waits for longer.
  private static final int AVOIDED_REPORTS = 10;

  private final Clock clock;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final RuntimeEstimates estimates;
  private final SteadyCapacity steady;
  private final Reservations reservations;
  private final Lanes lanes;
  private final long avoidedMs;
  private double serviceRoom;

  PlacementFilter(
      Clock clock,
      long reportMs,
      Ledger ledger,
      WorkerManager workers,
      RuntimeEstimates estimates,
      SteadyCapacity steady,
      Reservations reservations,
      Lanes lanes) {
    this.clock = clock;
    this.avoidedMs = AVOIDED_REPORTS * reportMs;
    this.ledger = ledger;
    this.workers = workers;
    this.estimates = estimates;
    this.steady = steady;
    this.reservations = reservations;
    this.lanes = lanes;
  }

  /** A turn begins, in which so many CPUs of steady machines are left to services. */
  void begin(double cpusForServices) {
    serviceRoom = cpusForServices;
  }

  /** What stands against starting a task of the job on this machine now. */
  PlacementVerdict filter(Job job, Host host, boolean explain) {
    Submission submission = job.spec();
    boolean kept = keptFrom(job, host);
    if (host.fits(submission)
        && host.allowed(submission)
        && !host.closed()
        && leavesRoom(submission, host)
        && !kept) {
      if (failedHere(job, host)) {
        return PlacementVerdict.FAILED_HERE;
      }
      if (host.hasProbationTask(clock.now())) {
        return PlacementVerdict.PROBATION;
      }
      if (host.drainAt() != Long.MAX_VALUE
          && !estimates.endsBefore(submission, host, clock.now())) {
        return PlacementVerdict.LEAVING;
      }
      if (ledger.zoneAllows(job, host.zone())) {
        return PlacementVerdict.FITS;
      }
      return submission.apart() && job.inZone(host.zone()) >= submission.maxTasksPerZone()
          ? PlacementVerdict.SPREAD
          : PlacementVerdict.TOGETHER;
    }
    // Which obstacle it is matters only to whoever asked.
    return explain ? obstacle(submission, host, kept) : PlacementVerdict.FULL;
  }

  /**
   * True when a task of the job failed there a moment ago. A machine that fails what it starts is
   * the one that has room again first, so the others of the job would run into it one after the
   * other. A job that fails wherever it runs is tried by one task at a time anyway.
   */
  private boolean failedHere(Job job, Host host) {
    return !job.suspected() && ledger.failedOn(job, host, avoidedMs);
  }

  /** True when this room is promised to others: to a rider, or to who has waited for long. */
  boolean keptFrom(Job job, Host host) {
    return lanes.keptFrom(job.spec(), host)
        || !lanes.rides(job.spec()) && reservations.keptFrom(job, host);
  }

  /** The same for any machine, also those that a turn does not look at. */
  PlacementVerdict judgeAny(Job job, Host host) {
    return !host.closed() && !workers.isResponsive(host)
        ? PlacementVerdict.SILENT
        : filter(job, host, true);
  }

  private static PlacementVerdict obstacle(Submission submission, Host host, boolean kept) {
    if (host.type() == null || !host.isUp() || !host.hasAcknowledgedTerm()) {
      boolean allowed =
          host.type() == null || host.allowed(submission) || !submission.spot() && host.spot();
      return allowed ? PlacementVerdict.NOT_UP : PlacementVerdict.NOT_ALLOWED;
    }
    if (!host.type().suits(submission)
        || submission.zone() != null && !submission.zone().equals(host.zone())) {
      return PlacementVerdict.NOT_ALLOWED;
    }
    if (!host.allowed(submission)) {
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
    if (host.overfull() || !host.fits(submission)) {
      return PlacementVerdict.FULL;
    }
    return kept ? PlacementVerdict.KEPT : PlacementVerdict.HELD_FOR_SERVICES;
  }

  /** How many more of the job's tasks these machines can take together. */
  int room(Job job, List<Host> machines) {
    Submission submission = job.spec();
    Map<String, Integer> perZone = new HashMap<>();
    for (Host host : machines) {
      if (ledger.mayStart(job, host) && !keptFrom(job, host) && !failedHere(job, host)) {
        perZone.merge(host.zone(), roomFor(host, submission), Integer::sum);
      }
    }
    int sum = 0;
    for (Map.Entry<String, Integer> zone : perZone.entrySet()) {
      sum += Math.min(zone.getValue(), submission.maxTasksPerZone() - job.inZone(zone.getKey()));
    }
    return sum;
  }

  private int roomFor(Host host, Submission submission) {
    long now = clock.now();
    int fitting = submission.fittingTasks(host.cpusFree(), host.memoryFree(), host.gpusFree());
    if (!host.isOnProbation(now)) {
      return fitting;
    }
    return host.hasProbationTask(now) ? 0 : Math.min(1, fitting);
  }

  /**
   * Work that may run on spot machines leaves some room on steady ones, so that a replica starts at
   * once instead of after somebody else has saved and stopped; and batches leave the riders'
   * reserve.
   */
  boolean leavesRoom(Submission submission, Host host) {
    return (submission.isService()
            || !submission.spot()
            || host.spot()
            || steady.free() - submission.cpus() >= serviceRoom)
        && lanes.leavesReserve(submission, host);
  }

  static Map<String, List<Host>> byZone(List<Host> machines) {
    return machines.stream()
        .collect(Collectors.groupingBy(Host::zone, TreeMap::new, Collectors.toList()));
  }
}
