package dapplestair.lane;

import dapplestair.disruption.DisruptionGate;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.settings.Lane;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Which batches go for a rider: those that lose least, each machine for as many tasks as it can.
 */
final class VictimSelector {
  // What has waited for long is left alone while anything else can go.
  private static final double SHELTERED = 1e9;

  private record VictimCandidate(Host host, int tasks, List<Attempt> victims, double loss) {
    double each() {
      return loss / tasks;
    }
  }

  private final Ledger ledger;
  private final WorkerManager workers;
  private final DisruptionGate disruptionGate;
  private Predicate<Attempt> sheltered = a -> false;

  VictimSelector(Ledger ledger, WorkerManager workers, DisruptionGate disruptionGate) {
    this.ledger = ledger;
    this.workers = workers;
    this.disruptionGate = disruptionGate;
  }

  void shelter(Predicate<Attempt> attempts) {
    sheltered = attempts;
  }

  /** Claims for up to {@code wanted} tasks on machines that are not claimed yet. */
  List<Claim> claims(Lane lane, Job rider, int wanted, Predicate<Host> unclaimed) {
    List<VictimCandidate> offers = new ArrayList<>();
    for (Host host : workers.hosts()) {
      if (!host.closed()
          && workers.fresh(host)
          && host.allowed(rider.spec())
          && unclaimed.test(host)
          && ledger.zoneAllows(rider, host.zone())) {
        VictimCandidate candidate = offer(lane, rider.spec(), host, wanted);
        if (candidate != null) {
          offers.add(candidate);
        }
      }
    }
    offers.sort(
        Comparator.comparingDouble(VictimCandidate::each).thenComparing(o -> o.host().id()));
    return take(lane, rider, wanted, offers);
  }

  private List<Claim> take(Lane lane, Job rider, int wanted, List<VictimCandidate> offers) {
    Submission submission = rider.spec();
    Map<String, Integer> perZone = new HashMap<>();
    List<Claim> out = new ArrayList<>();
    int left = wanted;
    for (VictimCandidate candidate : offers) {
      String zone = candidate.host().zone();
      int allowed = submission.mostPerZone() - rider.inZone(zone) - perZone.getOrDefault(zone, 0);
      int tasks = Math.min(Math.min(left, candidate.tasks()), allowed);
      if (tasks > 0 && (!submission.together() || perZone.isEmpty() || perZone.containsKey(zone))) {
        // Fewer than it has room for: then fewer have to go.
        VictimCandidate exact =
            tasks < candidate.tasks()
                ? offer(lane, submission, candidate.host(), tasks)
                : candidate;
        List<String> victims = new ArrayList<>();
        exact.victims().forEach(a -> victims.add(Claim.victim(a.key(), a.number())));
        out.add(new Claim(submission.ref(), candidate.host().id(), tasks, victims));
        perZone.merge(zone, tasks, Integer::sum);
        left -= tasks;
      }
    }
    return out;
  }

  /** The cheapest room for up to {@code most} tasks on this machine; null without any. */
  private VictimCandidate offer(Lane lane, Submission submission, Host host, int most) {
    double cpus = host.cpusFree();
    double memory = host.memoryFree();
    double gpus = host.gpusFree();
    List<Attempt> may = new ArrayList<>();
    for (Attempt attempt : host.attempts()) {
      if (!attempt.exited() && attempt.halting()) {
        // On its way there already.
        cpus += attempt.spec().cpus();
        memory += attempt.spec().memoryGb();
        gpus += attempt.spec().gpus();
      } else if (!attempt.exited() && lane.over(attempt.spec())) {
        may.add(attempt);
      }
    }
    may.sort(Comparator.comparingDouble(this::loss));
    int tasks = submission.fitting(cpus, memory, gpus);
    List<Attempt> victims = new ArrayList<>();
    double loss = 0;
    List<Attempt> counted = new ArrayList<>();
    for (Attempt attempt : may) {
      if (tasks >= most) {
        break;
      }
      counted.add(attempt);
      cpus += attempt.spec().cpus();
      memory += attempt.spec().memoryGb();
      gpus += attempt.spec().gpus();
      int now = submission.fitting(cpus, memory, gpus);
      if (now > tasks) {
        tasks = now;
        victims.addAll(counted);
        loss += counted.stream().mapToDouble(this::loss).sum();
        counted.clear();
      }
    }
    return tasks == 0 ? null : new VictimCandidate(host, Math.min(tasks, most), victims, loss);
  }

  private double loss(Attempt attempt) {
    return disruptionGate.maxLossCpuS(attempt) + (sheltered.test(attempt) ? SHELTERED : 0);
  }
}
