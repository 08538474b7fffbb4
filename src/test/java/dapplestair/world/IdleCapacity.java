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
 * Once troubles are over, no job may be left waiting for 90 s while a machine that fits has room
 * and its team is under its limit. Counted on the machines themselves, once a second.
 */
final class IdleCapacity {
  static final long LONGEST_WAIT_MS = 90_000;

  private static final long SAMPLE_MS = 1000;

  /** Room counts as idle once it was there in so many samples: two report intervals. */
  private static final int SETTLED_SAMPLES =
      (int) (2 * SimulatedCluster.REPORT_INTERVAL_MS / SAMPLE_MS);

  private final SimulatedCluster world;
  private final Map<EmulatedWorker, Deque<Room>> samples = new HashMap<>();
  private final Map<SimulatedUsers.KnownJob, Waiting> waiting = new HashMap<>();

  /** Free CPUs, memory and accelerators of one machine. */
  private record Room(List<Double> free) {
    static Room of(EmulatedWorker machine) {
      return new Room(EmulatorSettings.MachineSpec.FIELDS.stream().map(machine::free).toList());
    }

    Room least(Room other) {
      List<Double> out = new ArrayList<>();
      for (int i = 0; i < free.size(); i++) {
        out.add(Math.min(free.get(i), other.free.get(i)));
      }
      return new Room(out);
    }

    /** How many more tasks of a job it holds. */
    int fitting(SimulatedUsers.KnownJob job) {
      double tasks = job.taskCount;
      for (int i = 0; i < free.size(); i++) {
        double each = job.body.path(EmulatorSettings.MachineSpec.FIELDS.get(i)).asDouble();
        tasks = each > 0 ? Math.min(tasks, (free.get(i) + 1e-9) / each) : tasks;
      }
      return (int) Math.max(0, Math.floor(tasks));
    }
  }

  /** Since when a job has waited beside room, and how many starts it had by then. */
  private record Waiting(long since, int starts) {}

  /** What is on machines at one moment. */
  private static final class Occupancy {
    final Set<String> tasks = new HashSet<>();
    final Map<String, Map<String, Integer>> jobByZone = new HashMap<>();
    final Map<String, Double> teamCpus = new HashMap<>();
  }

  IdleCapacity(SimulatedCluster world) {
    this.world = world;
  }

  void watch() {
    world.sim.after(
        SAMPLE_MS,
        () -> {
          if (world.sim.now() >= world.users.faultsEndedAtMs) {
            look();
          }
          watch();
        });
  }

  private void look() {
    Map<EmulatedWorker, Room> idle = idle();
    Occupancy occupied = occupied();
    for (SimulatedUsers.KnownJob job : world.users.jobs.values()) {
      boolean neglected =
          waits(job, occupied) && allowed(job, occupied) && fits(job, occupied, idle);
      Waiting before = waiting.get(job);
      if (!neglected) {
        waiting.remove(job);
      } else if (before == null || before.starts != job.starts) {
        waiting.put(job, new Waiting(world.sim.now(), job.starts));
      } else if (world.sim.now() - before.since > LONGEST_WAIT_MS) {
        world.checker.reportViolation("left waiting for 90 s beside idle room: " + job.body);
      }
    }
  }

  /** The room of each machine that was free in all of the last samples. */
  private Map<EmulatedWorker, Room> idle() {
    Map<EmulatedWorker, Room> out = new HashMap<>();
    samples.keySet().removeIf(EmulatedWorker::gone);
    for (EmulatedWorker machine : world.cloud.machines()) {
      Deque<Room> of = samples.computeIfAbsent(machine, m -> new ArrayDeque<>());
      if (!machine.fit() || machine.unansweredMs() > 2 * SimulatedCluster.REPORT_INTERVAL_MS) {
        of.clear();
        continue;
      }
      of.addLast(Room.of(machine));
      if (of.size() > SETTLED_SAMPLES) {
        of.removeFirst();
        out.put(machine, of.stream().reduce(Room::least).orElseThrow());
      }
    }
    return out;
  }

  private Occupancy occupied() {
    Occupancy out = new Occupancy();
    for (EmulatedWorker machine : world.cloud.machines()) {
      for (EmulatedTask task : machine.tasks()) {
        SimulatedUsers.KnownJob job = world.users.jobs.get(InvariantChecker.jobRef(task.key()));
        if (machine.gone() || task.status().equals("exited")) {
          continue;
        }
        out.tasks.add(task.key());
        out.jobByZone
            .computeIfAbsent(job.ref, r -> new HashMap<>())
            .merge(machine.zone(), 1, Integer::sum);
        out.teamCpus.merge(job.team, job.cpus, Double::sum);
      }
    }
    return out;
  }

  /** True when it has a task that neither has completed nor is on a machine; of a gang all. */
  private boolean waits(SimulatedUsers.KnownJob job, Occupancy occupied) {
    if (!job.accepted || job.cancelRequested || job.done || job.body.has("mistakenSteps")) {
      return false;
    }
    if (gang(job) && occupied.jobByZone.containsKey(job.ref)) {
      return false;
    }
    for (int i = 0; i < job.taskCount; i++) {
      String key = job.ref + "/" + i;
      if (!world.checker.hasCompleted(key) && !occupied.tasks.contains(key)) {
        return true;
      }
    }
    return false;
  }

  private static boolean gang(SimulatedUsers.KnownJob job) {
    return job.body.path("shape").asText().equals("gang");
  }

  private static int atOnce(SimulatedUsers.KnownJob job) {
    return gang(job) ? job.taskCount : 1;
  }

  private boolean allowed(SimulatedUsers.KnownJob job, Occupancy occupied) {
    double cpus = occupied.teamCpus.getOrDefault(job.team, 0.0) + atOnce(job) * job.cpus;
    return job.team.equals("guest") || cpus <= world.size.maxTeamCpus() + 1e-6;
  }

  private boolean fits(
      SimulatedUsers.KnownJob job, Occupancy occupied, Map<EmulatedWorker, Room> idle) {
    Map<String, Integer> there = occupied.jobByZone.getOrDefault(job.ref, Map.of());
    Map<String, Integer> room = new HashMap<>();
    idle.forEach(
        (machine, free) -> {
          if (mayUse(job, machine, there)) {
            room.merge(machine.zone(), free.fitting(job), Integer::sum);
          }
        });
    if (job.body.path("apart").asBoolean()) {
      int most = (job.taskCount + 1) / 2;
      room.replaceAll((zone, tasks) -> Math.min(tasks, most - there.getOrDefault(zone, 0)));
    }
    boolean together = job.body.path("together").asBoolean();
    int tasks =
        together
            ? room.values().stream().mapToInt(n -> n).max().orElse(0)
            : room.values().stream().mapToInt(n -> n).sum();
    return tasks >= atOnce(job);
  }

  /** What the job's user allows, given where its other tasks are. */
  private static boolean mayUse(
      SimulatedUsers.KnownJob job, EmulatedWorker machine, Map<String, Integer> there) {
    boolean others = there.keySet().stream().anyMatch(z -> !z.equals(machine.zone()));
    return job.body.path("basin").asText(machine.zone()).equals(machine.zone())
        && job.allowsType(machine.type())
        && (job.body.path("loaners").asBoolean() || !machine.spot())
        && !(job.body.path("together").asBoolean() && others);
  }
}
