package dapplestair.planning;

import dapplestair.fleet.Fleet;
import dapplestair.fleet.MachineKind;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.machines.MachineType;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Determines the machines that waiting jobs lack in the single zone that their users allow. A plan
 * counts machines by type and pricing over all zones, so it takes an idle machine in any zone for
 * capacity for such a job.
 */
final class ZoneDemand {
  private static final double EPSILON = 1e-9;

  /**
   * The machines that a job lacks in its zone.
   *
   * @param overdue whether the job has lacked them for longer than a machine takes to boot
   */
  record Shortage(MachineKind kind, String zone, int machineCount, boolean overdue) {}

  /** Free resources of a machine that is up, booting or being rented. */
  private static final class FreeCapacity {
    final String zone;
    final MachineType type;
    final boolean spot;
    double cpus;
    double memoryGb;
    double gpus;

    FreeCapacity(
        String zone, MachineType type, boolean spot, double cpus, double memoryGb, double gpus) {
      this.zone = zone;
      this.type = type;
      this.spot = spot;
      this.cpus = cpus;
      this.memoryGb = memoryGb;
      this.gpus = gpus;
    }

    static FreeCapacity of(Host host) {
      return new FreeCapacity(
          host.zone(),
          host.type(),
          host.spot(),
          host.cpusFree(),
          host.memoryFreeGb(),
          host.gpusFree());
    }

    static FreeCapacity empty(String zone, MachineType type, boolean spot) {
      return new FreeCapacity(zone, type, spot, type.cpus(), type.memoryGb(), type.gpus());
    }

    /** Places up to {@code maxTasks} tasks of the job and returns how many it placed. */
    int placeTasks(Submission submission, int maxTasks) {
      if (!zone.equals(submission.zone())
          || !type.suits(submission)
          || spot && !submission.spot()) {
        return 0;
      }
      int tasks =
          Math.min(
              maxTasks,
              submission.fittingTasks(cpus + EPSILON, memoryGb + EPSILON, gpus + EPSILON));
      cpus -= tasks * submission.cpus();
      memoryGb -= tasks * submission.memoryGb();
      gpus -= tasks * submission.gpus();
      return tasks;
    }
  }

  private final Clock clock;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final Fleet fleet;
  private final MachineTypes types;
  private final Map<String, Long> lackingSinceMsByJob = new HashMap<>();
  private final Set<String> demandedZones = new HashSet<>();

  ZoneDemand(Clock clock, Ledger ledger, WorkerManager workers, Fleet fleet, MachineTypes types) {
    this.clock = clock;
    this.ledger = ledger;
    this.workers = workers;
    this.fleet = fleet;
    this.types = types;
  }

  /** Recomputes and returns the machines that waiting jobs lack, oldest job first. */
  List<Shortage> shortages() {
    demandedZones.clear();
    List<Shortage> shortages = new ArrayList<>();
    Set<String> lackingJobs = new HashSet<>();
    List<FreeCapacity> capacities = null;
    for (Job job : ledger.jobs()) {
      int unplacedTasks = waitingTasksInOneZone(job);
      if (unplacedTasks == 0) {
        continue;
      }
      demandedZones.add(job.spec().zone());
      capacities = capacities == null ? freeCapacities() : capacities;
      for (FreeCapacity freeCapacity : capacities) {
        unplacedTasks -= freeCapacity.placeTasks(job.spec(), unplacedTasks);
      }
      MachineKind kind = unplacedTasks > 0 ? cheapestKind(job.spec()) : null;
      if (kind != null) {
        lackingJobs.add(job.spec().ref());
        shortages.add(shortage(job.spec(), kind, unplacedTasks, capacities));
      }
    }
    lackingSinceMsByJob.keySet().retainAll(lackingJobs);
    return shortages;
  }

  /**
   * Returns whether the last call of {@link #shortages} found a waiting job that may run in this
   * zone only.
   */
  boolean hasDemandIn(String zone) {
    return demandedZones.contains(zone);
  }

  void clear() {
    lackingSinceMsByJob.clear();
    demandedZones.clear();
  }

  /**
   * Returns the number of tasks that may run in a single zone only and fit the team's limit now.
   */
  private int waitingTasksInOneZone(Job job) {
    if (job.isOver() || job.spec().zone() == null) {
      return 0;
    }
    return Math.min(job.wantedTasks(clock.now()), ledger.maxAdditionalTeamTasks(job.spec(), false));
  }

  private List<FreeCapacity> freeCapacities() {
    List<FreeCapacity> capacities = new ArrayList<>();
    for (Host host : workers.hosts()) {
      boolean isUsable =
          host.type() != null
              && fleet.isUsableAs(host, new MachineKind(host.type().name(), host.spot()));
      if (isUsable && (!host.isUp() || !host.closed())) {
        capacities.add(FreeCapacity.of(host));
      }
    }
    for (MachineType type : types.all()) {
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          int pendingCount = fleet.pendingIn(new MachineKind(type.name(), spot), zone);
          for (int i = 0; i < pendingCount; i++) {
            capacities.add(FreeCapacity.empty(zone, type, spot));
          }
        }
      }
    }
    return capacities;
  }

  /**
   * Returns the machine kind with the lowest price per CPU among those of which more may be rented
   * in the zone, or null if there is none.
   */
  private MachineKind cheapestKind(Submission submission) {
    MachineKind cheapest = null;
    double lowestPricePerCpu = Double.POSITIVE_INFINITY;
    for (MachineType type : types.all()) {
      for (boolean spot : new boolean[] {true, false}) {
        MachineKind kind = new MachineKind(type.name(), spot);
        double pricePerCpu = fleet.spotHistory().price(type, spot) / type.cpus();
        boolean isAllowed = type.suits(submission) && (submission.spot() || !spot);
        if (isAllowed
            && pricePerCpu < lowestPricePerCpu
            && fleet.mayRentIn(kind, submission.zone())) {
          cheapest = kind;
          lowestPricePerCpu = pricePerCpu;
        }
      }
    }
    return cheapest;
  }

  /**
   * Returns the machines needed for this number of tasks, and adds them to {@code capacities} so
   * that jobs examined later can use what is left of them.
   */
  private Shortage shortage(
      Submission submission, MachineKind kind, int tasks, List<FreeCapacity> capacities) {
    MachineType type = types.get(kind.type());
    int machineCount = 0;
    for (int remainingTasks = tasks; remainingTasks > 0; machineCount++) {
      FreeCapacity freeCapacity = FreeCapacity.empty(submission.zone(), type, kind.spot());
      remainingTasks -= Math.max(1, freeCapacity.placeTasks(submission, remainingTasks));
      capacities.add(freeCapacity);
    }
    long sinceMs = lackingSinceMsByJob.computeIfAbsent(submission.ref(), r -> clock.now());
    boolean overdue = clock.now() - sinceMs > 1000 * type.bootS();
    return new Shortage(kind, submission.zone(), machineCount, overdue);
  }
}
