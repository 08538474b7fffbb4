package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The state service refuses only the leader, another controller confirms cancellations, and then
 * the state service is unavailable to all for longer than {@code cancel_s} while the workers report
 * to the old leader. The invariant {@code ran_cancelled} checks that the tasks end in time, counted
 * from the answer to the user (docs/cancellations.md).
 */
class CancellationOutageTest {
  private static final int MAX_WAITS = 30;

  /** Runs jobs of every kind that last longer than the outage. */
  static final class Scenario {
    final SimulatedCluster cluster;
    final SimulatedCluster.ControllerNode oldLeader;
    final SimulatedCluster.ControllerNode second;
    final SimulatedCluster.ControllerNode third;
    final List<SimulatedUsers.KnownJob> cancelled = new ArrayList<>();
    final List<SimulatedUsers.KnownJob> otherJobs = new ArrayList<>();

    Scenario(long seed) {
      this(DisruptionTest.startServices(seed, 5, 5));
    }

    Scenario(SimulatedCluster startedCluster) {
      cluster = startedCluster;
      cluster.checker.teamDisruptionBudget = null;
      cluster.run(20_000);
      oldLeader = cluster.leader();
      second = cluster.nodes.get((oldLeader.index + 1) % 3);
      third = cluster.nodes.get((oldLeader.index + 2) % 3);
      for (int i = 0; i < 2; i++) {
        List<SimulatedUsers.KnownJob> jobs = i == 0 ? cancelled : otherJobs;
        // The service comes first so that it makes its room before the other jobs are placed.
        jobs.add(cluster.users.submitService("one", 3));
        cluster.run(4000);
        jobs.add(cluster.users.submitArray("one", "high", 8, 150));
        if (i == 0) {
          jobs.add(cluster.users.submitModifiedArray("two", 6, 150, b -> b.put("shape", "gang")));
        }
        jobs.add(
            cluster.users.submitModifiedArray(
                "two", 6, 150, b -> b.put("snapshotEveryS", 20.0).put("snapshotS", 3.0)));
        jobs.add(cluster.users.submitArray("one", "high", 1, 150));
      }
      cluster.run(12_000);
      for (int i = 0; i < MAX_WAITS && cancelled.stream().anyMatch(t -> running(t) == 0); i++) {
        // A gang that lost a member to an eviction starts again as a whole.
        cluster.run(1000);
      }
      cancelled.forEach(t -> assertTrue(running(t) > 0, t.ref + " does not run"));
    }

    long running(SimulatedUsers.KnownJob job) {
      return cluster.cloud.machines().stream()
          .filter(m -> !m.isGone())
          .flatMap(m -> m.tasks().stream())
          .filter(t -> t.isOnMachine() && t.key().startsWith(job.ref + "/"))
          .count();
    }

    long running(List<SimulatedUsers.KnownJob> jobs) {
      return jobs.stream().mapToLong(this::running).sum();
    }

    /** Injects a fault on every second machine that runs tasks of the jobs to be cancelled. */
    void injectFaultOnEverySecondMachine(MachineFault fault, long durationMs) {
      List<EmulatedWorker> machines =
          cluster.cloud.machines().stream()
              .filter(m -> !m.isGone() && m.tasks().stream().anyMatch(this::belongsToCancelledJob))
              .toList();
      assertTrue(machines.size() > 1, "too few machines run tasks to cancel");
      for (int i = 0; i < machines.size(); i += 2) {
        fault.inject(cluster, machines.get(i), durationMs);
      }
    }

    private boolean belongsToCancelledJob(EmulatedTask t) {
      return t.isOnMachine() && cancelled.stream().anyMatch(j -> t.key().startsWith(j.ref + "/"));
    }

    /** Stalls every third machine, with its tasks, past the end of its lease. */
    void stallEveryThirdMachine() {
      int i = 0;
      for (EmulatedWorker m : List.copyOf(cluster.cloud.machines())) {
        if (!m.isGone() && i++ % 3 == 0) {
          m.stall(SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2);
        }
      }
    }

    private void cutLinks(
        SimulatedCluster.ControllerNode a, SimulatedCluster.ControllerNode b, String fault) {
      if (fault.equals("refused") || fault.equals("held")) {
        cluster.network.cut("node-" + a.index, "node-" + b.index, fault.equals("held"));
      }
    }

    /** Cuts the old leader off from both others, and these from each other if {@code allLinks}. */
    void cutLinks(String fault, boolean allLinks) {
      cutLinks(oldLeader, second, fault);
      cutLinks(oldLeader, third, fault);
      if (allLinks) {
        cutLinks(second, third, fault);
      }
    }

    void healLinks() {
      for (SimulatedCluster.ControllerNode a : cluster.nodes) {
        for (SimulatedCluster.ControllerNode b : cluster.nodes) {
          if (a != b) {
            cluster.network.heal("node-" + a.index, "node-" + b.index);
          }
        }
      }
    }

    void cancelJobs(SimulatedCluster.ControllerNode node) {
      for (int i = 0; i < 55 && cancelled.stream().anyMatch(t -> !t.aborted); i++) {
        if (i % 20 == 0) {
          cancelled.stream().filter(t -> !t.aborted).forEach(t -> cluster.users.cancelAt(t, node));
        }
        cluster.run(20);
      }
      cancelled.forEach(
          t ->
              assertTrue(
                  t.aborted,
                  t.ref + " accepted " + t.accepted + " is not confirmed before the outage"));
    }

    /** Runs an outage of twice the time that cancelled tasks may live, and recovers. */
    void runOutage(Consumer<Scenario> duringOutage) {
      cluster.state.beginOutage();
      duringOutage.accept(this);
      cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS);
      assertEquals(0, running(cancelled), "cancelled tasks still run");
      cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS);
      cluster.state.setRefused("node-" + oldLeader.index, false);
      cluster.state.endOutage();
      healLinks();
      // Tasks lost with a lease start again, a gang as a whole.
      cluster.run(160_000);
      assertEquals(0, running(cancelled), "cancelled tasks still run");
      SeededDaysTest.settle(cluster);
    }
  }

  static void refuseOldLeader(Scenario test) {
    test.cluster.state.setRefused("node-" + test.oldLeader.index, true);
    test.cluster.run(200);
  }

  /**
   * The confirming controller is a follower: the outage begins before another controller leads. The
   * follower and the old leader may end at the given times after its begin (-1: not at all).
   */
  @ParameterizedTest(name = "seed {0}, links {1}, it ends after {2} ms, the old leader after {3}")
  @CsvSource({
    "8001,whole,-1,-1",
    "8002,whole,0,-1",
    "8003,whole,50,-1",
    "8004,whole,250,-1",
    "8005,whole,4000,-1",
    "8006,refused,-1,-1",
    "8007,refused,0,-1",
    "8008,refused,250,-1",
    "8009,held,-1,-1",
    "8010,held,0,-1",
    "8011,held,4000,-1",
    "8012,whole,-1,500",
    "8013,whole,250,500",
    "8014,refused,50,3000",
    "8015,held,-1,500"
  })
  void confirmedByAFollower(long seed, String links, long endsAfterMs, long oldLeaderEndsAfterMs) {
    Scenario test = new Scenario(seed);
    refuseOldLeader(test);
    test.cutLinks(links, true);
    test.cancelJobs(test.second);
    assertEquals(test.oldLeader, test.cluster.leader());
    test.runOutage(
        x -> {
          if (endsAfterMs >= 0) {
            test.cluster.sim.after(endsAfterMs, () -> test.second.crash(800));
          }
          if (oldLeaderEndsAfterMs >= 0) {
            test.cluster.sim.after(oldLeaderEndsAfterMs, () -> test.oldLeader.crash(800));
          }
        });
  }

  /** The confirming controller already leads but reaches no worker before the outage. */
  @ParameterizedTest(name = "seed {0}, links {1}, it ends after {2} ms")
  @CsvSource({
    "8021,whole,-1",
    "8022,whole,50",
    "8023,refused,-1",
    "8024,refused,0",
    "8025,held,250",
    "8026,held,-1"
  })
  void confirmedByTheNextLeader(long seed, String links, long endsAfterMs) {
    Scenario test = new Scenario(seed);
    for (EmulatedWorker m : test.cluster.cloud.machines()) {
      for (SimulatedCluster.ControllerNode n : List.of(test.second, test.third)) {
        test.cluster.network.cut("node-" + n.index, m.endpoint(), true);
        test.cluster.network.cut(SimulatedCluster.clientAddress(n.index), m.endpoint(), true);
      }
    }
    refuseOldLeader(test);
    test.cutLinks(links, false);
    test.cluster.run(4000);
    SimulatedCluster.ControllerNode leader = test.cluster.leader();
    assertTrue(leader != null && leader != test.oldLeader, "no other controller leads");
    test.cancelJobs(leader);
    test.runOutage(
        x -> {
          if (endsAfterMs >= 0) {
            test.cluster.sim.after(endsAfterMs, () -> leader.crash(800));
          }
          test.cluster.sim.after(
              SimulatedCluster.LEASE_MS,
              () -> {
                for (EmulatedWorker m : test.cluster.cloud.machines()) {
                  for (SimulatedCluster.ControllerNode n : List.of(test.second, test.third)) {
                    test.cluster.network.heal("node-" + n.index, m.endpoint());
                    test.cluster.network.heal(
                        SimulatedCluster.clientAddress(n.index), m.endpoint());
                  }
                }
              });
        });
  }

  /** First layer: the confirming controller tells the old leader, which ends the tasks at once. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8101, 8102})
  void theConfirmingControllerTellsTheOldLeader(long seed) {
    Scenario test = new Scenario(seed);
    refuseOldLeader(test);
    test.cancelJobs(test.second);
    test.cluster.state.beginOutage();
    test.cluster.run(SimulatedCluster.REPORT_INTERVAL_MS);
    assertEquals(0, test.running(test.cancelled), "cancelled tasks still run");
  }

  /** Second layer: no peer can be told, so the confirming controller ends the tasks itself. */
  @ParameterizedTest(name = "seed {0}, links {1}")
  @CsvSource({"8103,refused", "8104,held"})
  void theConfirmingControllerEndsTheTasksItself(long seed, String links) {
    Scenario test = new Scenario(seed);
    refuseOldLeader(test);
    test.cutLinks(links, true);
    test.cancelJobs(test.second);
    test.cluster.state.beginOutage();
    test.cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS / 2);
    assertEquals(0, test.running(test.cancelled), "cancelled tasks still run");
  }

  /** Launches are in flight while their jobs are cancelled, and arrive at any later time. */
  @ParameterizedTest(name = "seed {0}, arriving after {1} ms, links {2}")
  @CsvSource({
    "8031,1000,whole",
    "8032,5000,whole",
    "8033,20000,whole",
    "8034,40000,whole",
    "8035,60000,whole",
    "8036,5000,refused",
    "8037,20000,refused",
    "8038,60000,refused",
    "8039,40000,held"
  })
  void launchesThatArriveAfterTheCancellation(long seed, long arriveAfterMs, String links) {
    Scenario test = new Scenario(seed);
    List<String> machines =
        test.cluster.cloud.machines().stream()
            .filter(m -> !m.isGone())
            .map(m -> m.endpoint())
            .toList();
    machines.forEach(m -> test.cluster.network.cut("node-" + test.oldLeader.index, m, true));
    // Only as many jobs as a follower's puts can cancel in time; the rest are cancelled later.
    List<SimulatedUsers.KnownJob> otherCancelled = List.copyOf(test.cancelled);
    test.cancelled.clear();
    for (int i = 0; i < 4; i++) {
      test.cancelled.add(test.cluster.users.submitArray("one", "high", 4, 150));
    }
    test.cluster.run(1200);
    refuseOldLeader(test);
    test.cutLinks(links, false);
    test.cancelJobs(test.second);
    test.cluster.sim.after(
        5 * SimulatedCluster.CANCEL_DEADLINE_MS / 2,
        () -> otherCancelled.forEach(test.cluster.users::cancel));
    test.runOutage(
        x ->
            test.cluster.sim.after(
                arriveAfterMs,
                () ->
                    machines.forEach(
                        m -> test.cluster.network.heal("node-" + test.oldLeader.index, m))));
  }

  /** Machines with cancelled tasks receive nothing or hang, or the two alternate. */
  @ParameterizedTest(name = "seed {0}, {1}")
  @CsvSource({"8041,deaf", "8042,deaf", "8043,hang", "8044,hang", "8045,both", "8046,both"})
  void machinesThatCannotBeReachedOrHang(long seed, String fault) {
    Scenario test = new Scenario(seed);
    refuseOldLeader(test);
    test.cancelJobs(test.second);
    int i = 0;
    for (EmulatedWorker m : test.cluster.cloud.machines()) {
      if (!m.isGone() && m.tasks().stream().anyMatch(EmulatedTask::isOnMachine) && i++ % 2 == 0) {
        if (fault.equals("hang") || fault.equals("both") && i % 4 == 1) {
          m.hang(SimulatedCluster.LEASE_MS * 9 / 10);
        } else {
          m.cutInbound(SimulatedCluster.LEASE_MS * 9 / 10);
        }
      }
    }
    test.runOutage(x -> {});
  }

  /** The state service does not refuse the old leader but leaves it without an answer. */
  @ParameterizedTest(name = "seed {0}, held back: {1}")
  @CsvSource({"8051,true", "8052,false", "8053,true"})
  void theStateServiceDoesNotAnswerTheOldLeader(long seed, boolean hold) {
    Scenario test = new Scenario(seed);
    test.cluster.network.cut("node-" + test.oldLeader.index, "state:1", hold);
    test.cluster.run(200);
    test.cancelJobs(test.second);
    test.runOutage(
        x ->
            test.cluster.sim.after(
                SimulatedCluster.CANCEL_DEADLINE_MS,
                () -> test.cluster.network.heal("node-" + test.oldLeader.index, "state:1")));
  }

  /** All controllers end in the outage: none remembers the cancellations, so none keeps leases. */
  @ParameterizedTest(name = "seed {0}, after {1} ms")
  @CsvSource({"8061,0", "8062,300", "8063,8000"})
  void allControllersEndInTheOutage(long seed, long afterMs) {
    Scenario test = new Scenario(seed);
    refuseOldLeader(test);
    test.cancelJobs(test.second);
    test.runOutage(
        x -> test.cluster.sim.after(afterMs, () -> test.cluster.nodes.forEach(n -> n.crash(700))));
  }

  /** An outage for all, with controllers that reach each other, loses no other tasks. */
  @ParameterizedTest(name = "seed {0}, the leader refused before: {1}")
  @CsvSource({"8071,false", "8072,true", "8073,true"})
  void anOutageForAllLosesNoOtherTasks(long seed, boolean leaderRefused) {
    Scenario test = new Scenario(seed);
    int byLeaseBefore = test.cluster.cloud.tasksKilledByLease();
    int byReleaseBefore = test.cluster.cloud.tasksKilledByRelease();
    if (leaderRefused) {
      refuseOldLeader(test);
      test.cancelJobs(test.second);
    }
    List<SimulatedUsers.KnownJob> others = leaderRefused ? test.otherJobs : test.cancelled;
    long runningBefore = test.running(others);
    test.cluster.state.beginOutage();
    test.cluster.run(2 * SimulatedCluster.CANCEL_DEADLINE_MS);
    assertEquals(runningBefore, test.running(others), "running tasks of other jobs");
    assertEquals(
        byLeaseBefore, test.cluster.cloud.tasksKilledByLease(), "tasks killed at lease end");
    assertEquals(
        byReleaseBefore, test.cluster.cloud.tasksKilledByRelease(), "tasks killed by release");
    test.cluster.state.setRefused("node-" + test.oldLeader.index, false);
    test.cluster.state.endOutage();
    SeededDaysTest.settle(test.cluster);
  }

  /** A controller that is cut off from all others renews leases no longer than it may. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8081, 8082})
  void isolatedControllersReleaseTheirLeases(long seed) {
    Scenario test = new Scenario(seed);
    test.cluster.state.beginOutage();
    new RandomFaults(test.cluster)
        .isolateFromPeersAndState(test.oldLeader, false, 2 * SimulatedCluster.CANCEL_DEADLINE_MS);
    new RandomFaults(test.cluster)
        .isolateFromPeersAndState(test.second, false, 2 * SimulatedCluster.CANCEL_DEADLINE_MS);
    test.cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS * 11 / 10);
    assertEquals(
        0, test.running(test.cancelled) + test.running(test.otherJobs), "tasks still running");
    test.cluster.state.endOutage();
    test.cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS);
    SeededDaysTest.settle(test.cluster);
  }
}
