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
  private final Map<String, Long> waitingSince = new HashMap<>();
  private BooleanSupplier drainsLackRoom = () -> false;

  CapacityFloors(Clock clock, Ledger ledger) {
    this.clock = clock;
    this.ledger = ledger;
  }

  /*   * Raises the minimum counts of steady machines to hold the CPUs that non-spot jobs use or wait
   * for, those of the jobs expected while a machine boots, and one spare machine, so that replicas
   * lost with a machine restart at once. Work that may be stopped uses that capacity in the
   * meantime.
   */
  List<MachineKindState> forServices(List<MachineKindState> slots, List<Submission> soon) {
    double need = 0;
    for (Job job : ledger.jobs()) {
      if (!job.over() && !job.spec().spot()) {
        need += job.spec().cpus() * (job.wanted(clock.now()) + job.held());
      }
    }
    for (Submission s : soon) {
      if (!s.spot()) {
        need += s.cpus() * s.steps();
      }
    }
    double room = 0;
    double largest = 0;
    for (MachineKindState s : slots) {
      if (!s.spot() && s.minCount() > 0) {
        room += s.minCount() * s.type().cpus();
        largest = Math.max(largest, s.type().cpus());
      }
    }
    if (need > 0 && largest == 0) {
      largest = slots.stream().mapToDouble(s -> s.type().cpus()).min().orElse(0);
    }
    // When replicas on drained machines have nowhere to go, the spare capacity lies in zones that
    // already have as many replicas as they may, so each zone gets a spare machine.
    need += need > 0 ? largest * (drainsLackRoom.getAsBoolean() ? zones(slots) : 1) : 0;
    double stranded = strandedCpus(slots);
    if (stranded > 0) {
      // Replicas have waited for longer than a boot although there is free capacity: it lies in
      // zones that already have as many replicas as they may. The next machine is rented in the
      // zone that has the fewest.
      double up = 0;
      for (MachineKindState s : slots) {
        up += s.spot() ? 0 : s.upCount() * s.type().cpus();
      }
      need = Math.max(need, up + stranded);
    }
    List<MachineKindState> out = new ArrayList<>(slots);
    while (room < need) {
      int cheapest = -1;
      for (int i = 0; i < out.size(); i++) {
        MachineKindState s = out.get(i);
        if (!s.spot()
            && s.minCount() < s.maxCount()
            && (cheapest < 0 || perCpu(s) < perCpu(out.get(cheapest)))) {
          cheapest = i;
        }
      }
      if (cheapest < 0) {
        break;
      }
      MachineKindState s = out.get(cheapest);
      out.set(cheapest, withLeast(s, s.minCount() + 1));
      room += s.type().cpus();
    }
    return out;
  }

  /** Sets the check for whether drained machines hold replicas that have nowhere to go. */
  void drainsLackRoom(BooleanSupplier lack) {
    drainsLackRoom = lack;
  }

  private static int zones(List<MachineKindState> slots) {
    return slots.stream().mapToInt(s -> s.type().zones().size()).max().orElse(1);
  }

  /** Returns the CPUs of service replicas that have waited for longer than a machine boots. */
  private double strandedCpus(List<MachineKindState> slots) {
    double bootMs = 1000 * slots.stream().mapToDouble(s -> s.type().bootS()).max().orElse(0);
    long now = clock.now();
    Set<String> waiting = new HashSet<>();
    double sum = 0;
    for (Job job : ledger.jobs()) {
      if (job.spec().service() && !job.over() && job.wanted(now) > 0) {
        waiting.add(job.spec().ref());
        long since = waitingSince.computeIfAbsent(job.spec().ref(), r -> now);
        sum += now - since > bootMs ? job.wanted(now) * job.spec().cpus() : 0;
      }
    }
    waitingSince.keySet().retainAll(waiting);
    return sum;
  }

  /*   * Raises the minimum counts so that each gang that has waited for longer than {@code afterMs} gets
   * machines for all of its tasks at once; the search alone might settle for fewer forever. Machines
   * are spread over the zones, so a gang that must run in a single zone needs that many machines in
   * each zone.
   */
  List<MachineKindState> forGangs(List<MachineKindState> slots, long afterMs) {
    List<MachineKindState> out = new ArrayList<>(slots);
    for (Job job : ledger.jobs()) {
      Submission submission = job.spec();
      if (!submission.gang()
          || job.held() > 0
          || job.wanted(clock.now()) == 0
          || clock.wall() - job.acceptedWall() < afterMs) {
        continue;
      }
      double need = submission.cpus() * job.waiting();
      boolean zones = submission.together() && submission.zone() == null;
      for (int i = 0; i < out.size() && need > 0; i++) {
        MachineKindState kind = out.get(i);
        if (kind.type().suits(submission) && (submission.spot() || !kind.spot())) {
          double perMachine =
              Math.floor(kind.type().cpus() / submission.cpus()) * submission.cpus();
          int want = (int) Math.ceil(need / perMachine);
          want *= zones ? Math.max(1, kind.type().zones().size()) : 1;
          // Added to the busy machines, because a gang needs all of its capacity at once.
          int least = Math.max(kind.minCount(), Math.min(kind.maxCount(), kind.minCount() + want));
          out.set(i, withLeast(kind, least));
          need -= (least - kind.minCount()) * perMachine / (zones ? kind.type().zones().size() : 1);
        }
      }
    }
    return out;
  }

  private static MachineKindState withLeast(MachineKindState kind, int least) {
    return new MachineKindState(
        kind.type(),
        kind.spot(),
        least,
        kind.maxCount(),
        kind.heldSlots(),
        kind.upCount(),
        kind.pricePerHour(),
        kind.reclaimChance());
  }

  static double perCpu(MachineKindState kind) {
    return kind.pricePerHour() / kind.type().cpus();
  }
}
