package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a team borrows goes back to its owner, whatever the rank. */
class GuaranteeTest {
  // 96 CPUs in all; each of the two teams is guaranteed 40 and limited to 80.
  private static final SimulatedCluster.Size TIGHT = new SimulatedCluster.Size(2, 40, 1_000_000, 1);

  private static long running(SimulatedCluster world, SimulatedUsers.KnownJob job) {
    return world.cloud.machines().stream()
        .filter(m -> !m.isGone())
        .flatMap(m -> m.tasks().stream())
        .filter(t -> t.isOnMachine() && t.key().startsWith(job.ref + "/"))
        .count();
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  void borrowersOfEqualRankMakeRoom(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed, TIGHT);
    world.network.lossProbability = 0;
    world.users.submissionsStopped = true;
    world.run(5000);
    SimulatedUsers.KnownJob borrower = world.users.submitArray("one", "standard", 40, 300);
    world.run(60_000);
    assertTrue(running(world, borrower) >= 30, running(world, borrower) + " borrowers run");
    SimulatedUsers.KnownJob owner = world.users.submitArray("two", "standard", 20, 300);
    world.run(30_000);
    long owned = running(world, owner);
    long borrowed = running(world, borrower);
    // A machine that never boots leaves less for both: then the borrower is down to its own share.
    assertTrue(
        owned >= 18 || borrowed <= 20, owned + " of 20 run, " + borrowed + " are still borrowed");
    assertTrue(borrowed >= 18, borrowed + " left of the borrower's own 20");
  }
}
