package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import dapplestair.emulator.EmulatorSettings;
import dapplestair.json.Json;
import dapplestair.world.SimulatedCluster.ResumeOrder;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A controller process does not run for a while although its clocks go on. When it resumes, no
 * machine is returned that runs unfinished tasks by then, unless the present leader does so or a
 * cancelled task there is past its time.
 */
class PauseTest {
  /** What happens around the pause. */
  enum Scenario {
    /** The leader pauses while machines boot; another one leads meanwhile and uses them. */
    LEADER_WHILE_MACHINES_BOOT,
    /** The same, while a share of the commands to machines arrives late. */
    LEADER_WITH_LATE_COMMANDS,
    /** A controller that confirmed cancellations pauses while the leader ends the tasks. */
    FOLLOWER_AFTER_CANCELLATION,
    /** The same, and the leader changes during the pause. */
    FOLLOWER_AND_LEADER_CHANGE,
    /** The leader pauses, and the state service fails before it resumes. */
    LEADER_THEN_OUTAGE
  }

  private static final int SERVICES = 6;
  private static final int REPLICAS = 2;
  private static final int CANCELLED_JOBS = 3;
  private static final int ARRAY_TASKS = 20;
  private static final double ARRAY_RUN_S = 60;
  private static final long OUTAGE_MS = 8000;
  private static final double BOOT_S = 13;
  private static final long MIN_LISTED_MS = SimulatedCluster.CLOUD_LAG_MS + 1000;
  private static final long MAX_LISTED_MS = SimulatedCluster.CLOUD_LAG_MS + 3000;
  private static final double LATE_COMMAND_SHARE = 0.9;
  private static final long LATE_COMMANDS_MS = 8000;

  /** Checks every request that returns machines at the time it is sent. */
  private static void forbidForeignReturns(SimulatedCluster cluster) {
    cluster.network.observe(
        request -> {
          if (request.to().equals("cloud:1") && request.path().equals("/rentals/release")) {
            SimulatedCluster.ControllerNode leader = cluster.leader();
            if (leader == null || !request.from().equals("node-" + leader.index)) {
              Json.parse(request.body())
                  .path("hosts")
                  .forEach(host -> checkReturn(cluster, request.from(), host.asText()));
            }
          }
        });
  }

  private static void checkReturn(SimulatedCluster cluster, String sender, String host) {
    for (EmulatedWorker machine : cluster.cloud.machines()) {
      if (machine.id().equals(host) && !machine.isGone()) {
        List<EmulatedTask> tasks =
            machine.tasks().stream().filter(EmulatedTask::isOnMachine).toList();
        if (!tasks.isEmpty() && tasks.stream().noneMatch(task -> isOverdue(cluster, task))) {
          cluster.checker.reportViolation(
              sender + " does not lead and returns " + host + " with " + tasks.size() + " tasks");
        }
      }
    }
  }

  /** Returns whether the task was cancelled so long ago that its machine may be returned for it. */
  private static boolean isOverdue(SimulatedCluster cluster, EmulatedTask task) {
    SimulatedUsers.KnownJob job =
        cluster.users.jobs.get(task.key().substring(0, task.key().lastIndexOf('/')));
    return job != null
        && job.aborted
        && cluster.sim.now() - job.abortedAtMs > SimulatedCluster.CANCEL_DEADLINE_MS / 2;
  }

  private static EmulatorSettings.MachineSpec slowlyBootingType() {
    return new EmulatorSettings.MachineSpec(
        SimulatedCluster.MACHINE_TYPE, SimulatedCluster.MACHINE_CPUS, 0, 64, 50, 1, 1, 0.4, BOOT_S);
  }

  private static List<SimulatedUsers.KnownJob> submitServices(SimulatedCluster cluster) {
    List<SimulatedUsers.KnownJob> jobs = new ArrayList<>();
    for (int i = 0; i < SERVICES; i++) {
      jobs.add(cluster.users.submitService(i % 2 == 0 ? "one" : "two", REPLICAS));
    }
    return jobs;
  }

  private static void pauseLeader(
      SimulatedCluster cluster, long pauseMs, ResumeOrder order, Scenario scenario) {
    submitServices(cluster);
    cluster.users.submitArray("one", "high", ARRAY_TASKS, ARRAY_RUN_S);
    cluster.users.submitArray("two", "high", ARRAY_TASKS, ARRAY_RUN_S);
    if (scenario == Scenario.LEADER_WITH_LATE_COMMANDS) {
      delayCommands(cluster);
    }
    // The machines that are rented for these jobs are listed by then, and still boot.
    cluster.run(cluster.sim.between(MIN_LISTED_MS, MAX_LISTED_MS));
    cluster.leader().freeze(pauseMs, order);
    if (scenario == Scenario.LEADER_THEN_OUTAGE) {
      cluster.sim.after(pauseMs - 500, cluster.state::beginOutage);
      cluster.sim.after(pauseMs + OUTAGE_MS, cluster.state::endOutage);
    }
  }

  private static void pauseFollower(
      SimulatedCluster cluster, long pauseMs, ResumeOrder order, Scenario scenario) {
    List<SimulatedUsers.KnownJob> jobs = submitServices(cluster);
    cluster.run(20_000);
    SimulatedCluster.ControllerNode leader = cluster.leader();
    SimulatedCluster.ControllerNode follower = cluster.nodes.get((leader.index + 1) % 3);
    delayCommands(cluster);
    List<SimulatedUsers.KnownJob> cancelled = jobs.subList(0, CANCELLED_JOBS);
    cancelled.forEach(job -> cluster.users.cancelAt(job, follower));
    while (!cancelled.stream().allMatch(job -> job.aborted)) {
      cluster.run(10);
    }
    follower.freeze(pauseMs, order);
    if (scenario == Scenario.FOLLOWER_AND_LEADER_CHANGE) {
      cluster.sim.after(pauseMs / 2, () -> leader.crash(1000));
    }
  }

  private static void delayCommands(SimulatedCluster cluster) {
    cluster.network.lateCommandProbability = LATE_COMMAND_SHARE;
    cluster.sim.after(LATE_COMMANDS_MS, () -> cluster.network.lateCommandProbability = 0);
  }

  /** Guards against machines that are returned on knowledge from before a pause. */
  @ParameterizedTest(name = "seed {0}, {1}, {2} ms, {3}")
  @CsvSource({
    "7000,LEADER_WHILE_MACHINES_BOOT,42000,TIMERS_FIRST",
    "7005,LEADER_WHILE_MACHINES_BOOT,30897,TIMERS_FIRST",
    "6003,LEADER_WHILE_MACHINES_BOOT,42000,MESSAGES_FIRST",
    "6012,LEADER_WHILE_MACHINES_BOOT,3000,TIMERS_FIRST",
    "8007,LEADER_WITH_LATE_COMMANDS,42000,TIMERS_FIRST",
    "8044,LEADER_WITH_LATE_COMMANDS,33140,MESSAGES_FIRST",
    "9000,FOLLOWER_AFTER_CANCELLATION,42000,TIMERS_FIRST",
    "9008,FOLLOWER_AFTER_CANCELLATION,33549,MESSAGES_FIRST",
    "10000,FOLLOWER_AND_LEADER_CHANGE,42000,TIMERS_FIRST",
    "10004,FOLLOWER_AND_LEADER_CHANGE,40623,MESSAGES_FIRST",
    "11008,LEADER_THEN_OUTAGE,43060,TIMERS_FIRST",
    "6011,LEADER_THEN_OUTAGE,20000,MESSAGES_FIRST"
  })
  void noMachineInUseIsReturned(long seed, Scenario scenario, long pauseMs, ResumeOrder order) {
    run(seed, scenario, pauseMs, order);
  }

  static SimulatedCluster run(long seed, Scenario scenario, long pauseMs, ResumeOrder order) {
    SimulatedCluster cluster =
        new SimulatedCluster(
            seed, SimulatedCluster.Size.MEDIUM, true, List.of(slowlyBootingType()));
    cluster.network.lossProbability = 0;
    cluster.run(40_000);
    forbidForeignReturns(cluster);
    boolean followerPauses =
        scenario == Scenario.FOLLOWER_AFTER_CANCELLATION
            || scenario == Scenario.FOLLOWER_AND_LEADER_CHANGE;
    if (followerPauses) {
      pauseFollower(cluster, pauseMs, order, scenario);
    } else {
      pauseLeader(cluster, pauseMs, order, scenario);
    }
    cluster.run(pauseMs + 60_000);
    double pauses =
        cluster.nodes.stream().mapToDouble(node -> node.metric("dapplestair_pauses")).sum();
    assertTrue(pauses > 0, "no pause was noticed");
    SeededDaysTest.settle(cluster);
    return cluster;
  }
}
