package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests clusters of hundreds of machines and thousands of tasks: the invariants, and the number of
 * puts per start.
 */
class LargeClusterDaysTest {
  // An array of some 75 tasks takes about a dozen puts from its acceptance to its end.
  private static final double MAX_PUTS_PER_START = 0.5;

  /**
   * A leader ends, a zone is cut off, and spot machines are reclaimed without notice, all
   * overlapping.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  void invariantsHoldInALargeCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.LARGE);
    try {
      cluster.run(30_000);
      for (int i = 0; i < 50 && cluster.leader() == null; i++) {
        cluster.run(100);
      }
      SimulatedCluster.ControllerNode follower =
          cluster.nodes.get((cluster.leader().index + 1) % 3);
      String zone = follower.settings.zone();
      cluster.cutOff(follower, m -> m.zone().equals(zone), false, 20_000);
      cluster.run(5000);
      for (EmulatedWorker m : cluster.cloud.machines()) {
        if (m.isSpot() && cluster.sim.chance(0.3)) {
          m.reclaim(0);
        }
      }
      cluster.run(5000);
      if (cluster.leader() != null) {
        cluster.leader().crash(6000);
      }
      cluster.run(40_000);
      cluster.users.submissionsStopped = true;
      cluster.run(60_000);
      cluster.checker.checkHalfServed();
    } catch (AssertionError e) {
      throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
    }
    assertTrue(
        cluster.checker.startCount > 4000, "only " + cluster.checker.startCount + " tasks started");
    long endedJobs =
        cluster.users.jobs.values().stream().filter(j -> j.done || j.aborted || j.service).count();
    assertTrue(
        endedJobs > 0.95 * cluster.users.jobs.size(),
        endedJobs + " of " + cluster.users.jobs.size() + " jobs ended");
  }

  /**
   * Counts puts instead of measuring times: the number of puts per start must not grow with the
   * fleet.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {11, 12})
  void putsPerStartAreFew(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.LARGE);
    cluster.network.lossProbability = 0;
    cluster.run(60_000);
    double putsPerStart = cluster.state.writeCount() / (double) cluster.checker.startCount;
    assertTrue(
        cluster.checker.startCount > 3000, "only " + cluster.checker.startCount + " tasks started");
    assertTrue(putsPerStart < MAX_PUTS_PER_START, putsPerStart + " puts per start");
  }
}
