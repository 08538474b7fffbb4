package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * All controllers are unavailable for longer than a lease: their processes end, are frozen, or
 * reach no worker. All tasks are killed; accepted jobs run again afterwards, cancelled jobs do not.
 */
class AllControllersUnavailableTest {
  private static final long UNAVAILABLE_MS = SimulatedCluster.LEASE_MS * 5 / 4;

  private static List<SimulatedUsers.KnownJob> startJobs(SimulatedCluster cluster) {
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.run(5000);
    List<SimulatedUsers.KnownJob> jobs = new ArrayList<>();
    for (String team : List.of("one", "two")) {
      jobs.add(cluster.users.submitArray(team, "high", 6, 40));
      jobs.add(
          cluster.users.submitModifiedArray(
              team, 4, 40, b -> b.put("snapshotEveryS", 5.0).put("snapshotS", 2.0)));
      jobs.add(cluster.users.submitModifiedArray(team, 3, 40, b -> b.put("shape", "gang")));
      jobs.add(cluster.users.submitArray(team, "standard", 1, 40));
      jobs.add(cluster.users.submitService(team, 3));
    }
    cluster.users.submitArray("one", "standard", 40, 4);
    for (int i = 0; i < 30 && !jobs.stream().allMatch(job -> job.started); i++) {
      cluster.run(1000);
    }
    cluster.run(2000);
    jobs.forEach(job -> assertTrue(job.started, () -> job.ref + " does not run"));
    return jobs;
  }

  /**
   * Makes all controllers unavailable. Their return is spread over {@code spreadMs}, and any of
   * them may become the leader.
   */
  private static void makeUnavailable(SimulatedCluster cluster, String fault, long spreadMs) {
    for (SimulatedCluster.ControllerNode node : cluster.nodes) {
      long durationMs = UNAVAILABLE_MS + cluster.sim.between(0, spreadMs);
      if (fault.equals("ended")) {
        node.crash(durationMs);
      } else if (fault.equals("still")) {
        node.freeze(durationMs);
      } else {
        cutFromWorkers(cluster, node, fault.equals("held"), cluster.sim.now() + durationMs);
      }
    }
  }

  private static void cutFromWorkers(
      SimulatedCluster cluster, SimulatedCluster.ControllerNode node, boolean hold, long untilMs) {
    List<String> names = List.of("node-" + node.index, SimulatedCluster.clientAddress(node.index));
    for (EmulatedWorker m : cluster.cloud.machines()) {
      for (String name : names) {
        if (cluster.sim.now() < untilMs) {
          cluster.network.cut(name, m.endpoint(), hold);
        } else {
          cluster.network.heal(name, m.endpoint());
        }
      }
    }
    if (cluster.sim.now() < untilMs) {
      // Cuts off the machines that boot in the meantime as well.
      cluster.sim.after(400, () -> cutFromWorkers(cluster, node, hold, untilMs));
    }
  }

  /**
   * Half of the jobs are cancelled {@code cancelledBeforeMs} before the controllers become
   * unavailable; a negative value cancels them that long after, while no controller answers.
   */
  @ParameterizedTest(name = "seed {0}, {1}, back within {2} ms, cancelled {3} ms before")
  @CsvSource({
    "9301,ended,0,1500",
    "9302,ended,500,30",
    "9303,ended,3000,400",
    "9304,ended,17000,-1000",
    "9305,still,0,1500",
    "9306,still,500,30",
    "9307,still,3000,400",
    "9308,still,17000,-1000",
    "9309,held,0,1500",
    "9310,held,3000,30",
    "9311,lost,500,400",
    "9312,lost,17000,-1000"
  })
  void allControllersUnavailableForLongerThanALease(
      long seed, String fault, long spreadMs, long cancelledBeforeMs) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    List<SimulatedUsers.KnownJob> jobs = startJobs(cluster);
    List<SimulatedUsers.KnownJob> cancelled = jobs.subList(0, jobs.size() / 2);
    if (cancelledBeforeMs >= 0) {
      cancelled.forEach(cluster.users::cancel);
      cluster.run(cancelledBeforeMs);
    }
    int killedByLeaseBefore = cluster.cloud.tasksKilledByLease();
    makeUnavailable(cluster, fault, spreadMs);
    if (cancelledBeforeMs < 0) {
      cluster.run(-cancelledBeforeMs);
      cancelled.forEach(cluster.users::cancel);
    }
    cluster.run(UNAVAILABLE_MS + spreadMs);
    assertTrue(
        cluster.cloud.tasksKilledByLease() > killedByLeaseBefore,
        "no task was killed by the end of its lease");
    cluster.run(SimulatedCluster.LEASE_MS);
    SeededDaysTest.settle(cluster);
    assertEquals(
        3,
        countRunningTasks(cluster, jobs.get(jobs.size() - 1)),
        "running replicas of a service that was not cancelled");
  }

  private static long countRunningTasks(SimulatedCluster cluster, SimulatedUsers.KnownJob job) {
    return cluster.cloud.machines().stream()
        .filter(m -> !m.isGone())
        .flatMap(m -> m.tasks().stream())
        .filter(t -> t.isOnMachine() && t.key().startsWith(job.ref + "/"))
        .count();
  }
}
