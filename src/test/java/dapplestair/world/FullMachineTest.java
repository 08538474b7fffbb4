package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Machines have less free capacity than the records say, and refuse starts as full. */
class FullMachineTest {
  private static final long CROWDED_MS = 40_000;
  private static final long BEGIN_MS = 60_000;

  private static SimulatedCluster startCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM, true);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    for (int i = 0; i < 4; i++) {
      cluster.users.submitService("one", 3);
    }
    cluster.run(30_000);
    return cluster;
  }

  /**
   * Guards against starts that are repeated without a pause after a refusal. The invariant checker
   * counts the refusals of each machine.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {16101, 16102, 16103})
  void aStartRefusedAsFullIsNotRepeatedWithoutPause(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    cluster.cloud.machines().forEach(m -> m.occupy(CROWDED_MS));
    SimulatedUsers.KnownJob service = cluster.users.submitService("two", 3);
    SimulatedUsers.KnownJob array = cluster.users.submitArray("two", "high", 12, 5);
    cluster.run(CROWDED_MS);
    cluster.run(BEGIN_MS);
    assertTrue(service.begunAtMs() >= 0, "the service has not begun");
    assertTrue(array.done, "the array is not done");
  }

  /**
   * A single full machine: the work that it refuses runs on other machines, and later it gets work
   * again.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {16111, 16112, 16113})
  void workGoesElsewhereAndTheMachineComesBackIntoUse(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    EmulatedWorker crowded = cluster.cloud.machines().iterator().next();
    crowded.occupy(CROWDED_MS);
    SimulatedUsers.KnownJob first = cluster.users.submitArray("two", "high", 24, 5);
    cluster.run(CROWDED_MS);
    assertTrue(first.done, "the work that the full machine refused is not done elsewhere");
    int startsBefore = cluster.checker.startsByMachine.getOrDefault(crowded.id(), 0);
    // Submits as many tasks as all machines have room for.
    SimulatedUsers.KnownJob second =
        cluster.users.submitArray("two", "high", (int) (cluster.size.maxTeamCpus() / 2), 20);
    cluster.run(BEGIN_MS);
    int startsAfter = cluster.checker.startsByMachine.getOrDefault(crowded.id(), 0);
    assertTrue(crowded.isGone() || startsAfter > startsBefore, "the machine got no work again");
    SeededDaysTest.settle(cluster);
    assertTrue(second.done, "the second array is not done");
  }
}
