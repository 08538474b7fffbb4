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

/** How few machines a plan may hold: what must start at once has its room whatever it costs. */
final class CapacityFloors {
  private final Clock clock;
  private final Ledger ledger;
  private final Map<String, Long> waitingSince = new HashMap<>();
  private BooleanSupplier drainsLackRoom = () -> false;

  CapacityFloors(Clock clock, Ledger ledger) {
    this.clock = clock;
    this.ledger = ledger;
  }

  /**
   * Steady machines are counted as busy up to what services use, what is expected of them within a
   * boot, and one machine more, so that replicas lost with a machine start again at once. Work that
   * may be stopped fills that room meanwhile.
   */
  List<MachineKindState> forServices(List<MachineKindState> slots, List<Submission> soon) {
    double need = 0;
    for (Job job : ledger.jobs()) {
      if (!job.isOver() && !job.spec().spot()) {
        need += job.spec().cpus() * (job.wantedTasks(clock.now()) + job.heldAttempts());
      }
    }
    for (Submission s : soon) {
      if (!s.spot()) {
        need += s.cpus() * s.taskCount();
      }
    }
    double room = 0;
    double largest = 0;
    for (MachineKindState s : slots) {
      if (!s.spot() && s.least() > 0) {
        room += s.least() * s.type().cpus();
        largest = Math.max(largest, s.type().cpus());
      }
    }
    if (need > 0 && largest == 0) {
      largest = slots.stream().mapToDouble(s -> s.type().cpus()).min().orElse(0);
    }
    // Replicas on drained machines that have no place: the room that is spare lies in zones that
    // already have all that they may, so there is some in each.
    need += need > 0 ? largest * (drainsLackRoom.getAsBoolean() ? zones(slots) : 1) : 0;
    double stranded = strandedCpus(slots);
    if (stranded > 0) {
      // Replicas that the room there is did not take for as long as a boot: it lies in zones that
      // already have all that they may. The next machine comes where there are fewest.
      double up = 0;
      for (MachineKindState s : slots) {
        up += s.spot() ? 0 : s.up() * s.type().cpus();
      }
      need = Math.max(need, up + stranded);
    }
    List<MachineKindState> out = new ArrayList<>(slots);
    while (room < need) {
      int cheapest = -1;
      for (int i = 0; i < out.size(); i++) {
        MachineKindState s = out.get(i);
        if (!s.spot()
            && s.least() < s.most()
            && (cheapest < 0 || perCpu(s) < perCpu(out.get(cheapest)))) {
          cheapest = i;
        }
      }
      if (cheapest < 0) {
        break;
      }
      MachineKindState s = out.get(cheapest);
      out.set(cheapest, withLeast(s, s.least() + 1));
      room += s.type().cpus();
    }
    return out;
  }

  /** {@code lack} tells whether drained machines hold replicas that have no place to go. */
  void drainsLackRoom(BooleanSupplier lack) {
    drainsLackRoom = lack;
  }

  private static int zones(List<MachineKindState> slots) {
    return slots.stream().mapToInt(s -> s.type().zones().size()).max().orElse(1);
  }

  /** CPUs of services that have waited for longer than a machine boots. */
  private double strandedCpus(List<MachineKindState> slots) {
    double bootMs = 1000 * slots.stream().mapToDouble(s -> s.type().bootS()).max().orElse(0);
    long now = clock.now();
    Set<String> waiting = new HashSet<>();
    double sum = 0;
    for (Job job : ledger.jobs()) {
      if (job.spec().isService() && !job.isOver() && job.wantedTasks(now) > 0) {
        waiting.add(job.spec().ref());
        long since = waitingSince.computeIfAbsent(job.spec().ref(), r -> now);
        sum += now - since > bootMs ? job.wantedTasks(now) * job.spec().cpus() : 0;
      }
    }
    waitingSince.keySet().retainAll(waiting);
    return sum;
  }

  /**
   * A gang that has waited for longer than {@code afterMs} gets machines for all of it at once; the
   * search alone might settle for fewer for ever. Machines are spread over the zones, so one that
   * must be in one zone needs as many in each.
   */
  List<MachineKindState> forGangs(List<MachineKindState> slots, long afterMs) {
    List<MachineKindState> out = new ArrayList<>(slots);
    for (Job job : ledger.jobs()) {
      Submission submission = job.spec();
      if (!submission.isGang()
          || job.heldAttempts() > 0
          || job.wantedTasks(clock.now()) == 0
          || clock.wall() - job.acceptedWallMs() < afterMs) {
        continue;
      }
      double need = submission.cpus() * job.waitingTasks();
      boolean zones = submission.together() && submission.zone() == null;
      for (int i = 0; i < out.size() && need > 0; i++) {
        MachineKindState kind = out.get(i);
        if (kind.type().suits(submission) && (submission.spot() || !kind.spot())) {
          double perMachine =
              Math.floor(kind.type().cpus() / submission.cpus()) * submission.cpus();
          int want = (int) Math.ceil(need / perMachine);
          want *= zones ? Math.max(1, kind.type().zones().size()) : 1;
          // Beside what is busy: a gang needs its room all at once.
          int least = Math.max(kind.least(), Math.min(kind.most(), kind.least() + want));
          out.set(i, withLeast(kind, least));
          need -= (least - kind.least()) * perMachine / (zones ? kind.type().zones().size() : 1);
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
        kind.most(),
        kind.held(),
        kind.up(),
        kind.price(),
        kind.takeBack());
  }

  static double perCpu(MachineKindState kind) {
    return kind.price() / kind.type().cpus();
  }
}
