package dapplestair.planning;

import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.planning.FleetProblem.MachineKindState;
import dapplestair.ports.Clock;
import dapplestair.work.Submission;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Computes the minimum number of machines that a plan must hold: work that must start at once has
 * capacity regardless of cost.
 */
final class CapacityFloors {
  private final Clock clock;
  private final Ledger ledger;
  private final Map<String, Long> waitingSinceMsByJob = new HashMap<>();
  private BooleanSupplier drainsLackCapacity = () -> false;

  CapacityFloors(Clock clock, Ledger ledger) {
    this.clock = clock;
    this.ledger = ledger;
  }

  /**
   * Raises the minimum counts of steady machines to hold the CPUs that non-spot jobs use or wait
   * for, those of the jobs expected while a machine boots, and one spare machine, so that replicas
   * lost with a machine restart at once. Work that may be stopped uses that capacity in the
   * meantime.
   */
  List<MachineKindState> forServices(List<MachineKindState> kinds, List<Submission> expectedJobs) {
    double neededCpus = 0;
    for (Job job : ledger.jobs()) {
      if (!job.isOver() && !job.spec().spot()) {
        neededCpus += job.spec().cpus() * (job.wantedTasks(clock.now()) + job.heldAttempts());
      }
    }
    for (Submission submission : expectedJobs) {
      if (!submission.spot()) {
        neededCpus += submission.cpus() * submission.taskCount();
      }
    }
    double floorCpus = 0;
    double largestMachineCpus = 0;
    for (MachineKindState kind : kinds) {
      if (!kind.spot() && kind.minCount() > 0) {
        floorCpus += kind.minCount() * kind.type().cpus();
        largestMachineCpus = Math.max(largestMachineCpus, kind.type().cpus());
      }
    }
    if (neededCpus > 0 && largestMachineCpus == 0) {
      largestMachineCpus = kinds.stream().mapToDouble(s -> s.type().cpus()).min().orElse(0);
    }
    // When replicas on drained machines have nowhere to go, the spare capacity lies in zones that
    // already have as many replicas as they may, so each zone gets a spare machine.
    neededCpus +=
        neededCpus > 0
            ? largestMachineCpus * (drainsLackCapacity.getAsBoolean() ? zoneCount(kinds) : 1)
            : 0;
    double stranded = strandedCpus(kinds);
    if (stranded > 0) {
      // Replicas have waited for longer than a boot although there is free capacity: it lies in
      // zones that already have as many replicas as they may. The next machine is rented in the
      // zone that has the fewest.
      double upCpus = 0;
      for (MachineKindState kind : kinds) {
        upCpus += kind.spot() ? 0 : kind.upCount() * kind.type().cpus();
      }
      neededCpus = Math.max(neededCpus, upCpus + stranded);
    }
    List<MachineKindState> raised = new ArrayList<>(kinds);
    while (floorCpus < neededCpus) {
      int cheapest = -1;
      for (int i = 0; i < raised.size(); i++) {
        MachineKindState kind = raised.get(i);
        if (!kind.spot()
            && kind.minCount() < kind.maxCount()
            && (cheapest < 0 || pricePerCpu(kind) < pricePerCpu(raised.get(cheapest)))) {
          cheapest = i;
        }
      }
      if (cheapest < 0) {
        break;
      }
      MachineKindState kind = raised.get(cheapest);
      raised.set(cheapest, withMinCount(kind, kind.minCount() + 1));
      floorCpus += kind.type().cpus();
    }
    return raised;
  }

  /** Sets the check for whether drained machines hold replicas that have nowhere to go. */
  void setDrainsLackCapacity(BooleanSupplier check) {
    drainsLackCapacity = check;
  }

  private static int zoneCount(List<MachineKindState> kinds) {
    return kinds.stream().mapToInt(s -> s.type().zones().size()).max().orElse(1);
  }

  /** Returns the CPUs of service replicas that have waited for longer than a machine boots. */
  private double strandedCpus(List<MachineKindState> kinds) {
    double bootMs = 1000 * kinds.stream().mapToDouble(s -> s.type().bootS()).max().orElse(0);
    long nowMs = clock.now();
    Set<String> waitingJobs = new HashSet<>();
    double cpus = 0;
    for (Job job : ledger.jobs()) {
      if (job.spec().isService() && !job.isOver() && job.wantedTasks(nowMs) > 0) {
        waitingJobs.add(job.spec().ref());
        long sinceMs = waitingSinceMsByJob.computeIfAbsent(job.spec().ref(), r -> nowMs);
        cpus += nowMs - sinceMs > bootMs ? job.wantedTasks(nowMs) * job.spec().cpus() : 0;
      }
    }
    waitingSinceMsByJob.keySet().retainAll(waitingJobs);
    return cpus;
  }

  /**
   * Raises the minimum counts so that each gang that has waited for longer than {@code afterMs}
   * gets machines for all of its tasks at once; the search alone might settle for fewer forever.
   * Machines are spread over the zones, so a gang that must run in a single zone needs that many
   * machines in each zone.
   */
  List<MachineKindState> forGangs(List<MachineKindState> kinds, long afterMs) {
    List<MachineKindState> raised = new ArrayList<>(kinds);
    for (Job job : ledger.jobs()) {
      Submission submission = job.spec();
      if (!submission.isGang()
          || job.heldAttempts() > 0
          || job.wantedTasks(clock.now()) == 0
          || clock.wall() - job.acceptedWallMs() < afterMs) {
        continue;
      }
      double neededCpus = submission.cpus() * job.waitingTasks();
      boolean inOneZone = submission.together() && submission.zone() == null;
      for (int i = 0; i < raised.size() && neededCpus > 0; i++) {
        MachineKindState kind = raised.get(i);
        if (kind.type().suits(submission) && (submission.spot() || !kind.spot())) {
          double cpusPerMachine =
              Math.floor(kind.type().cpus() / submission.cpus()) * submission.cpus();
          int wantedCount = (int) Math.ceil(neededCpus / cpusPerMachine);
          wantedCount *= inOneZone ? Math.max(1, kind.type().zones().size()) : 1;
          // Added to the busy machines, because a gang needs all of its capacity at once.
          int minCount =
              Math.max(kind.minCount(), Math.min(kind.maxCount(), kind.minCount() + wantedCount));
          raised.set(i, withMinCount(kind, minCount));
          neededCpus -=
              (minCount - kind.minCount())
                  * cpusPerMachine
                  / (inOneZone ? kind.type().zones().size() : 1);
        }
      }
    }
    return raised;
  }

  private static MachineKindState withMinCount(MachineKindState kind, int minCount) {
    return new MachineKindState(
        kind.type(),
        kind.spot(),
        minCount,
        kind.maxCount(),
        kind.heldSlots(),
        kind.upCount(),
        kind.pricePerHour(),
        kind.reclaimChance());
  }

  static double pricePerCpu(MachineKindState kind) {
    return kind.pricePerHour() / kind.type().cpus();
  }
}
