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
 * Selects the batch tasks to evict for a rider: those whose eviction loses least per rider task;
 * each machine makes room for as many of the rider's tasks as it can.
 */
final class VictimSelector {
  // Added to the loss of protected attempts: jobs that have waited for long are evicted only when
  // nothing else can be.
  private static final double PROTECTED_PENALTY_CPU_S = 1e9;

  private record VictimCandidate(Host host, int tasks, List<Attempt> victims, double lossCpuS) {
    double lossPerTask() {
      return lossCpuS / tasks;
    }
  }

  private final Ledger ledger;
  private final WorkerManager workers;
  private final DisruptionGate disruptionGate;
  private Predicate<Attempt> isProtected = a -> false;

  VictimSelector(Ledger ledger, WorkerManager workers, DisruptionGate disruptionGate) {
    this.ledger = ledger;
    this.workers = workers;
    this.disruptionGate = disruptionGate;
  }

  void setProtection(Predicate<Attempt> protection) {
    isProtected = protection;
  }

  /** Returns claims for up to {@code wantedTasks} tasks on machines that are not claimed yet. */
  List<Claim> selectClaims(Lane lane, Job rider, int wantedTasks, Predicate<Host> unclaimed) {
    List<VictimCandidate> candidates = new ArrayList<>();
    for (Host host : workers.hosts()) {
      if (!host.closed()
          && workers.isResponsive(host)
          && host.isAllowedBy(rider.spec())
          && unclaimed.test(host)
          && ledger.zoneAllows(rider, host.zone())) {
        VictimCandidate candidate = findCandidate(lane, rider.spec(), host, wantedTasks);
        if (candidate != null) {
          candidates.add(candidate);
        }
      }
    }
    candidates.sort(
        Comparator.comparingDouble(VictimCandidate::lossPerTask).thenComparing(o -> o.host().id()));
    return toClaims(lane, rider, wantedTasks, candidates);
  }

  private List<Claim> toClaims(
      Lane lane, Job rider, int wantedTasks, List<VictimCandidate> candidates) {
    Submission submission = rider.spec();
    Map<String, Integer> tasksByZone = new HashMap<>();
    List<Claim> claims = new ArrayList<>();
    int remainingTasks = wantedTasks;
    for (VictimCandidate candidate : candidates) {
      String zone = candidate.host().zone();
      int allowedInZone =
          submission.maxTasksPerZone()
              - rider.attemptsInZone(zone)
              - tasksByZone.getOrDefault(zone, 0);
      int tasks = Math.min(Math.min(remainingTasks, candidate.tasks()), allowedInZone);
      if (tasks > 0
          && (!submission.together() || tasksByZone.isEmpty() || tasksByZone.containsKey(zone))) {
        // For fewer tasks than this machine could make room for, fewer victims are evicted.
        VictimCandidate trimmed =
            tasks < candidate.tasks()
                ? findCandidate(lane, submission, candidate.host(), tasks)
                : candidate;
        List<String> victims = new ArrayList<>();
        trimmed.victims().forEach(a -> victims.add(Claim.formatVictim(a.key(), a.number())));
        claims.add(new Claim(submission.ref(), candidate.host().id(), tasks, victims));
        tasksByZone.merge(zone, tasks, Integer::sum);
        remainingTasks -= tasks;
      }
    }
    return claims;
  }

  /**
   * Returns the cheapest capacity for up to {@code maxTasks} tasks on this machine, or null when
   * none can be made.
   */
  private VictimCandidate findCandidate(Lane lane, Submission submission, Host host, int maxTasks) {
    double cpus = host.cpusFree();
    double memory = host.memoryFreeGb();
    double gpus = host.gpusFree();
    List<Attempt> evictable = new ArrayList<>();
    for (Attempt attempt : host.attempts()) {
      if (!attempt.exited() && attempt.halting()) {
        // This attempt's capacity is already becoming free.
        cpus += attempt.spec().cpus();
        memory += attempt.spec().memoryGb();
        gpus += attempt.spec().gpus();
      } else if (!attempt.exited() && lane.isPreemptible(attempt.spec())) {
        evictable.add(attempt);
      }
    }
    evictable.sort(Comparator.comparingDouble(this::lossCpuS));
    int tasks = submission.fittingTasks(cpus, memory, gpus);
    List<Attempt> victims = new ArrayList<>();
    double lossCpuS = 0;
    List<Attempt> addedSinceFit = new ArrayList<>();
    for (Attempt attempt : evictable) {
      if (tasks >= maxTasks) {
        break;
      }
      addedSinceFit.add(attempt);
      cpus += attempt.spec().cpus();
      memory += attempt.spec().memoryGb();
      gpus += attempt.spec().gpus();
      int fittingTasks = submission.fittingTasks(cpus, memory, gpus);
      if (fittingTasks > tasks) {
        tasks = fittingTasks;
        victims.addAll(addedSinceFit);
        lossCpuS += addedSinceFit.stream().mapToDouble(this::lossCpuS).sum();
        addedSinceFit.clear();
      }
    }
    return tasks == 0
        ? null
        : new VictimCandidate(host, Math.min(tasks, maxTasks), victims, lossCpuS);
  }

  private double lossCpuS(Attempt attempt) {
    return disruptionGate.maxLossCpuS(attempt)
        + (isProtected.test(attempt) ? PROTECTED_PENALTY_CPU_S : 0);
  }
}
