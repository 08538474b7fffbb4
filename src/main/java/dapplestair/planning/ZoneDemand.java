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

/* * Determines the machines that waiting jobs lack in the single zone that their users allow. A plan
 * counts machines by type and pricing over all zones, so it takes an idle machine in any zone for
 * capacity for such a job.
 */
final class ZoneDemand {
  private static final double EPSILON = 1e-9;

  /*   * The machines that a job lacks in its zone.
   *
   * @param overdue whether the job has lacked them for longer than a machine takes to boot
   */
  record Shortage(MachineKind kind, String zone, int machines, boolean overdue) {}

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
          host.memoryFree(),
          host.gpusFree());
    }

    static FreeCapacity empty(String zone, MachineType type, boolean spot) {
      return new FreeCapacity(zone, type, spot, type.cpus(), type.memoryGb(), type.gpus());
    }

    /** Places up to {@code maxTasks} tasks of the job and returns how many it placed. */
    int take(Submission submission, int most) {
      if (!zone.equals(submission.zone())
          || !type.suits(submission)
          || spot && !submission.spot()) {
        return 0;
      }
      int tasks =
          Math.min(most, submission.fitting(cpus + EPSILON, memoryGb + EPSILON, gpus + EPSILON));
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
  private final Map<String, Long> lackingSince = new HashMap<>();
  private final Set<String> waitedFor = new HashSet<>();

  ZoneDemand(Clock clock, Ledger ledger, WorkerManager workers, Fleet fleet, MachineTypes types) {
    this.clock = clock;
    this.ledger = ledger;
    this.workers = workers;
    this.fleet = fleet;
    this.types = types;
  }

  /** Recomputes and returns the machines that waiting jobs lack, oldest job first. */
  List<Shortage> shortages() {
    waitedFor.clear();
    List<Shortage> out = new ArrayList<>();
    Set<String> lacking = new HashSet<>();
    List<FreeCapacity> rooms = null;
    for (Job job : ledger.jobs()) {
      int tasks = waitingInOneZone(job);
      if (tasks == 0) {
        continue;
      }
      waitedFor.add(job.spec().zone());
      rooms = rooms == null ? rooms() : rooms;
      for (FreeCapacity freeCapacity : rooms) {
        tasks -= freeCapacity.take(job.spec(), tasks);
      }
      MachineKind kind = tasks > 0 ? cheapest(job.spec()) : null;
      if (kind != null) {
        lacking.add(job.spec().ref());
        out.add(shortage(job.spec(), kind, tasks, rooms));
      }
    }
    lackingSince.keySet().retainAll(lacking);
    return out;
  }

  /**
   * Returns whether the last call of {@link #shortages} found a waiting job that may run in this
   * zone only.
   */
  boolean waitsFor(String zone) {
    return waitedFor.contains(zone);
  }

  void clear() {
    lackingSince.clear();
    waitedFor.clear();
  }

  /**
   * Returns the number of tasks that may run in a single zone only and fit the team's limit now.
   */
  private int waitingInOneZone(Job job) {
    if (job.over() || job.spec().zone() == null) {
      return 0;
    }
    return Math.min(job.wanted(clock.now()), ledger.teamRoom(job.spec(), false));
  }

  private List<FreeCapacity> rooms() {
    List<FreeCapacity> out = new ArrayList<>();
    for (Host host : workers.hosts()) {
      boolean ofUse =
          host.type() != null
              && fleet.counts(host, new MachineKind(host.type().name(), host.spot()));
      if (ofUse && (!host.up() || !host.closed())) {
        out.add(FreeCapacity.of(host));
      }
    }
    for (MachineType type : types.all()) {
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          int coming = fleet.pendingIn(new MachineKind(type.name(), spot), zone);
          for (int i = 0; i < coming; i++) {
            out.add(FreeCapacity.empty(zone, type, spot));
          }
        }
      }
    }
    return out;
  }

  /**
   * Returns the machine kind with the lowest price per CPU among those of which more may be rented
   * in the zone, or null if there is none.
   */
  private MachineKind cheapest(Submission submission) {
    MachineKind best = null;
    double least = Double.POSITIVE_INFINITY;
    for (MachineType type : types.all()) {
      for (boolean spot : new boolean[] {true, false}) {
        MachineKind kind = new MachineKind(type.name(), spot);
        double perCpu = fleet.market().price(type, spot) / type.cpus();
        boolean allowed = type.suits(submission) && (submission.spot() || !spot);
        if (allowed && perCpu < least && fleet.mayRentIn(kind, submission.zone())) {
          best = kind;
          least = perCpu;
        }
      }
    }
    return best;
  }

  /**
   * Returns the machines needed for this number of tasks, and adds them to {@code capacities} so
   * that jobs examined later can use what is left of them.
   */
  private Shortage shortage(
      Submission submission, MachineKind kind, int tasks, List<FreeCapacity> rooms) {
    MachineType type = types.get(kind.type());
    int machines = 0;
    for (int left = tasks; left > 0; machines++) {
      FreeCapacity freeCapacity = FreeCapacity.empty(submission.zone(), type, kind.spot());
      left -= Math.max(1, freeCapacity.take(submission, left));
      rooms.add(freeCapacity);
    }
    long since = lackingSince.computeIfAbsent(submission.ref(), r -> clock.now());
    boolean overdue = clock.now() - since > 1000 * type.bootS();
    return new Shortage(kind, submission.zone(), machines, overdue);
  }
}
