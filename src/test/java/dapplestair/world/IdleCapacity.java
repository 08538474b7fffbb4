package dapplestair.world;

import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import dapplestair.emulator.EmulatorSettings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that, once faults are over, no job waits for 90 s while a machine that fits has free
 * resources and the team is below its limit. Machines and tasks are counted on the emulated
 * machines themselves, once a second.
 */
final class IdleCapacity {
  static final long MAX_WAIT_MS = 90_000;

  private static final long SAMPLE_INTERVAL_MS = 1000;

  /**
   * Free resources count as idle once they were there in this many samples: two report intervals.
   */
  private static final int SAMPLES_UNTIL_IDLE =
      (int) (2 * SimulatedCluster.REPORT_INTERVAL_MS / SAMPLE_INTERVAL_MS);

  private final SimulatedCluster cluster;
  private final Map<EmulatedWorker, Deque<FreeResources>> samplesByMachine = new HashMap<>();
  private final Map<SimulatedUsers.KnownJob, Waiting> waitingJobs = new HashMap<>();

  /** Free CPUs, memory and accelerators of one machine. */
  private record FreeResources(List<Double> free) {
    static FreeResources of(EmulatedWorker machine) {
      return new FreeResources(
          EmulatorSettings.MachineSpec.FIELDS.stream().map(machine::freeAmount).toList());
    }

    FreeResources minimum(FreeResources other) {
      List<Double> minimums = new ArrayList<>();
      for (int i = 0; i < free.size(); i++) {
        minimums.add(Math.min(free.get(i), other.free.get(i)));
      }
      return new FreeResources(minimums);
    }

    /** Returns how many more tasks of a job fit. */
    int countFittingTasks(SimulatedUsers.KnownJob job) {
      double tasks = job.taskCount;
      for (int i = 0; i < free.size(); i++) {
        double perTask = job.body.path(EmulatorSettings.MachineSpec.FIELDS.get(i)).asDouble();
        tasks = perTask > 0 ? Math.min(tasks, (free.get(i) + 1e-9) / perTask) : tasks;
      }
      return (int) Math.max(0, Math.floor(tasks));
    }
  }

  /**
   * The time since which a job has waited although it fits an idle machine, and its number of
   * starts at that time.
   */
  private record Waiting(long sinceMs, int starts) {}

  /** The tasks on all machines at one moment. */
  private static final class Occupancy {
    final Set<String> tasksOnMachines = new HashSet<>();
    final Map<String, Map<String, Integer>> tasksByJobAndZone = new HashMap<>();
    final Map<String, Double> teamCpus = new HashMap<>();
  }

  IdleCapacity(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void start() {
    cluster.sim.after(
        SAMPLE_INTERVAL_MS,
        () -> {
          if (cluster.sim.now() >= cluster.users.faultsEndedAtMs) {
            checkWaitingJobs();
          }
          start();
        });
  }

  private void checkWaitingJobs() {
    Map<EmulatedWorker, FreeResources> idleByMachine = idleResources();
    Occupancy occupancy = currentOccupancy();
    for (SimulatedUsers.KnownJob job : cluster.users.jobs.values()) {
      boolean waitsDespiteIdleMachine =
          hasWaitingTask(job, occupancy)
              && isWithinTeamLimit(job, occupancy)
              && fitsIdleMachines(job, occupancy, idleByMachine);
      Waiting waitingBefore = waitingJobs.get(job);
      if (!waitsDespiteIdleMachine) {
        waitingJobs.remove(job);
      } else if (waitingBefore == null || waitingBefore.starts != job.starts) {
        waitingJobs.put(job, new Waiting(cluster.sim.now(), job.starts));
      } else if (cluster.sim.now() - waitingBefore.sinceMs > MAX_WAIT_MS) {
        cluster.checker.reportViolation(
            "job waited for 90 s although an idle machine fits: " + job.body);
      }
    }
  }

  /** Returns the resources of each machine that were free in all of the last samples. */
  private Map<EmulatedWorker, FreeResources> idleResources() {
    Map<EmulatedWorker, FreeResources> idleByMachine = new HashMap<>();
    samplesByMachine.keySet().removeIf(EmulatedWorker::isGone);
    for (EmulatedWorker machine : cluster.cloud.machines()) {
      Deque<FreeResources> machineSamples =
          samplesByMachine.computeIfAbsent(machine, m -> new ArrayDeque<>());
      if (!machine.canCompleteTasks()
          || machine.sinceAnsweredReportMs() > 2 * SimulatedCluster.REPORT_INTERVAL_MS) {
        machineSamples.clear();
        continue;
      }
      machineSamples.addLast(FreeResources.of(machine));
      if (machineSamples.size() > SAMPLES_UNTIL_IDLE) {
        machineSamples.removeFirst();
        idleByMachine.put(
            machine, machineSamples.stream().reduce(FreeResources::minimum).orElseThrow());
      }
    }
    return idleByMachine;
  }

  private Occupancy currentOccupancy() {
    Occupancy occupancy = new Occupancy();
    for (EmulatedWorker machine : cluster.cloud.machines()) {
      for (EmulatedTask task : machine.tasks()) {
        SimulatedUsers.KnownJob job = cluster.users.jobs.get(InvariantChecker.jobRef(task.key()));
        if (machine.isGone() || task.status().equals("exited")) {
          continue;
        }
        occupancy.tasksOnMachines.add(task.key());
        occupancy
            .tasksByJobAndZone
            .computeIfAbsent(job.ref, r -> new HashMap<>())
            .merge(machine.zone(), 1, Integer::sum);
        occupancy.teamCpus.merge(job.team, job.cpus, Double::sum);
      }
    }
    return occupancy;
  }

  /**
   * Returns true if the job has a task that has neither completed nor is on a machine; for a gang,
   * only if none of its tasks is on a machine.
   */
  private boolean hasWaitingTask(SimulatedUsers.KnownJob job, Occupancy occupancy) {
    if (!job.accepted || job.cancelRequested || job.done || job.body.has("mistakenSteps")) {
      return false;
    }
    if (isGang(job) && occupancy.tasksByJobAndZone.containsKey(job.ref)) {
      return false;
    }
    for (int i = 0; i < job.taskCount; i++) {
      String key = job.ref + "/" + i;
      if (!cluster.checker.hasCompleted(key) && !occupancy.tasksOnMachines.contains(key)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isGang(SimulatedUsers.KnownJob job) {
    return job.body.path("shape").asText().equals("gang");
  }

  private static int tasksNeededAtOnce(SimulatedUsers.KnownJob job) {
    return isGang(job) ? job.taskCount : 1;
  }

  private boolean isWithinTeamLimit(SimulatedUsers.KnownJob job, Occupancy occupancy) {
    double cpus =
        occupancy.teamCpus.getOrDefault(job.team, 0.0) + tasksNeededAtOnce(job) * job.cpus;
    return job.team.equals("guest") || cpus <= cluster.size.maxTeamCpus() + 1e-6;
  }

  private boolean fitsIdleMachines(
      SimulatedUsers.KnownJob job,
      Occupancy occupancy,
      Map<EmulatedWorker, FreeResources> idleByMachine) {
    Map<String, Integer> jobTasksByZone =
        occupancy.tasksByJobAndZone.getOrDefault(job.ref, Map.of());
    Map<String, Integer> fittingByZone = new HashMap<>();
    idleByMachine.forEach(
        (machine, free) -> {
          if (mayUse(job, machine, jobTasksByZone)) {
            fittingByZone.merge(machine.zone(), free.countFittingTasks(job), Integer::sum);
          }
        });
    if (job.body.path("apart").asBoolean()) {
      int maxPerZone = (job.taskCount + 1) / 2;
      fittingByZone.replaceAll(
          (zone, tasks) -> Math.min(tasks, maxPerZone - jobTasksByZone.getOrDefault(zone, 0)));
    }
    boolean sameZoneRequired = job.body.path("together").asBoolean();
    int fittingTasks =
        sameZoneRequired
            ? fittingByZone.values().stream().mapToInt(n -> n).max().orElse(0)
            : fittingByZone.values().stream().mapToInt(n -> n).sum();
    return fittingTasks >= tasksNeededAtOnce(job);
  }

  /**
   * Returns true if the job's user allows this machine, given the zones of the job's other tasks.
   */
  private static boolean mayUse(
      SimulatedUsers.KnownJob job, EmulatedWorker machine, Map<String, Integer> jobTasksByZone) {
    boolean hasTasksInOtherZones =
        jobTasksByZone.keySet().stream().anyMatch(z -> !z.equals(machine.zone()));
    return job.body.path("basin").asText(machine.zone()).equals(machine.zone())
        && job.allowsType(machine.type())
        && (job.body.path("loaners").asBoolean() || !machine.isSpot())
        && !(job.body.path("together").asBoolean() && hasTasksInOtherZones);
  }
}
