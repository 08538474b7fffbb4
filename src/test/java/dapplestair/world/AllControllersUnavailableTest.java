package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * All controllers are away for longer than a lease: their processes ended, stand still, or reach no
 * worker. All tasks are killed; what was accepted runs again, what was cancelled does not.
 */
class AllControllersUnavailableTest {
  private static final long AWAY_MS = SimulatedCluster.LEASE_MS * 5 / 4;

  private static List<SimulatedUsers.KnownJob> begun(SimulatedCluster w) {
    w.network.lossProbability = 0;
    w.users.submissionsStopped = true;
    w.run(5000);
    List<SimulatedUsers.KnownJob> jobs = new ArrayList<>();
    for (String team : List.of("one", "two")) {
      jobs.add(w.users.submitArray(team, "high", 6, 40));
      jobs.add(
          w.users.submitModifiedArray(
              team, 4, 40, b -> b.put("snapshotEveryS", 5.0).put("snapshotS", 2.0)));
      jobs.add(w.users.submitModifiedArray(team, 3, 40, b -> b.put("shape", "gang")));
      jobs.add(w.users.submitArray(team, "standard", 1, 40));
      jobs.add(w.users.submitService(team, 3));
    }
    w.users.submitArray("one", "standard", 40, 4);
    for (int i = 0; i < 30 && !jobs.stream().allMatch(job -> job.started); i++) {
      w.run(1000);
    }
    w.run(2000);
    jobs.forEach(job -> assertTrue(job.started, () -> job.ref + " does not run"));
    return jobs;
  }

  /** Their return is spread over {@code spreadMs}; the leader's place is free for all of them. */
  private static void away(SimulatedCluster w, String how, long spreadMs) {
    for (SimulatedCluster.ControllerNode node : w.nodes) {
      long ms = AWAY_MS + w.sim.between(0, spreadMs);
      if (how.equals("ended")) {
        node.crash(ms);
      } else if (how.equals("still")) {
        node.freeze(ms);
      } else {
        cutFromWorkers(w, node, how.equals("held"), w.sim.now() + ms);
      }
    }
  }

  private static void cutFromWorkers(
      SimulatedCluster w, SimulatedCluster.ControllerNode node, boolean hold, long until) {
    List<String> names = List.of("node-" + node.index, SimulatedCluster.clientAddress(node.index));
    for (EmulatedWorker m : w.cloud.machines()) {
      for (String name : names) {
        if (w.sim.now() < until) {
          w.network.cut(name, m.endpoint(), hold);
        } else {
          w.network.heal(name, m.endpoint());
        }
      }
    }
    if (w.sim.now() < until) {
      // Machines that come up meanwhile are out of reach as well.
      w.sim.after(400, () -> cutFromWorkers(w, node, hold, until));
    }
  }

  /**
   * Half of the jobs are cancelled so many milliseconds before all are away, or after the first may
   * be back (negative: while nobody is there to be asked).
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
  void allAreAwayForLongerThanALease(long seed, String how, long spreadMs, long cancelledMs) {
    SimulatedCluster w = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    List<SimulatedUsers.KnownJob> jobs = begun(w);
    List<SimulatedUsers.KnownJob> cancelled = jobs.subList(0, jobs.size() / 2);
    if (cancelledMs >= 0) {
      cancelled.forEach(w.users::cancel);
      w.run(cancelledMs);
    }
    int byLease = w.cloud.tasksKilledByLease();
    away(w, how, spreadMs);
    if (cancelledMs < 0) {
      w.run(-cancelledMs);
      cancelled.forEach(w.users::cancel);
    }
    w.run(AWAY_MS + spreadMs);
    assertTrue(w.cloud.tasksKilledByLease() > byLease, "no lease ran out");
    w.run(SimulatedCluster.LEASE_MS);
    SeededDaysTest.settle(w);
    assertEquals(3, running(w, jobs.get(jobs.size() - 1)), "replicas of a service not cancelled");
  }

  private static long running(SimulatedCluster w, SimulatedUsers.KnownJob job) {
    return w.cloud.machines().stream()
        .filter(m -> !m.isGone())
        .flatMap(m -> m.tasks().stream())
        .filter(t -> t.isOnMachine() && t.key().startsWith(job.ref + "/"))
        .count();
  }
}
