package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Days with hundreds of machines and thousands of tasks: the rules, and what a start costs. */
class LargeClusterDaysTest {
  // An array of some 75 tasks takes about a dozen puts from its acceptance to its end.
  private static final double MOST_PUTS_PER_START = 0.5;

  /** A leader ends, a zone is cut off, spot machines are taken without notice, all overlapping. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  void rulesHoldAtTheGrownSize(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed, SimulatedCluster.Size.LARGE);
    try {
      world.run(30_000);
      for (int i = 0; i < 50 && world.leader() == null; i++) {
        world.run(100);
      }
      SimulatedCluster.ControllerNode follower = world.nodes.get((world.leader().index + 1) % 3);
      String zone = follower.settings.zone();
      world.cutOff(follower, m -> m.zone().equals(zone), false, 20_000);
      world.run(5000);
      for (EmulatedWorker m : world.cloud.machines()) {
        if (m.isSpot() && world.sim.chance(0.3)) {
          m.reclaim(0);
        }
      }
      world.run(5000);
      if (world.leader() != null) {
        world.leader().crash(6000);
      }
      world.run(40_000);
      world.users.submissionsStopped = true;
      world.run(60_000);
      world.checker.checkHalfServed();
    } catch (AssertionError e) {
      throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
    }
    assertTrue(
        world.checker.startCount > 4000, "only " + world.checker.startCount + " tasks started");
    long ended =
        world.users.jobs.values().stream().filter(j -> j.done || j.aborted || j.service).count();
    assertTrue(
        ended > 0.95 * world.users.jobs.size(),
        ended + " of " + world.users.jobs.size() + " jobs ended");
  }

  /** Counts, not times: what a start costs the state service must not grow with the fleet. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {11, 12})
  void putsPerStartAreFew(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed, SimulatedCluster.Size.LARGE);
    world.network.lossProbability = 0;
    world.run(60_000);
    double perStart = world.state.writeCount() / (double) world.checker.startCount;
    assertTrue(
        world.checker.startCount > 3000, "only " + world.checker.startCount + " tasks started");
    assertTrue(perStart < MOST_PUTS_PER_START, perStart + " puts per start");
  }
}
