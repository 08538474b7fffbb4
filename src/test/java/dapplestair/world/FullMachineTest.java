package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Machines have less room than the records say: their starts are refused as full. */
class FullMachineTest {
  private static final long CROWDED_MS = 40_000;
  private static final long BEGIN_MS = 60_000;

  private static SimulatedCluster begun(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM, true);
    w.network.lossProbability = 0;
    w.users.submissionsStopped = true;
    for (int i = 0; i < 4; i++) {
      w.users.submitService("one", 3);
    }
    w.run(30_000);
    return w;
  }

  /** The checker counts how often a machine refuses. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {16101, 16102, 16103})
  void aStartRefusedAsFullIsNotRepeatedWithoutPause(long seed) {
    SimulatedCluster w = begun(seed);
    w.cloud.machines().forEach(m -> m.occupy(CROWDED_MS));
    SimulatedUsers.KnownJob service = w.users.submitService("two", 3);
    SimulatedUsers.KnownJob array = w.users.submitArray("two", "high", 12, 5);
    w.run(CROWDED_MS);
    w.run(BEGIN_MS);
    assertTrue(service.begunAtMs() >= 0, "the service has not begun");
    assertTrue(array.done, "the array is not done");
  }

  /** One machine alone: what it refuses runs on others, and it gets work again. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {16111, 16112, 16113})
  void workGoesElsewhereAndTheMachineComesBackIntoUse(long seed) {
    SimulatedCluster w = begun(seed);
    EmulatedWorker crowded = w.cloud.machines().iterator().next();
    crowded.occupy(CROWDED_MS);
    SimulatedUsers.KnownJob first = w.users.submitArray("two", "high", 24, 5);
    w.run(CROWDED_MS);
    assertTrue(first.done, "the work of the crowded machine is not done elsewhere");
    int before = w.checker.startsByMachine.getOrDefault(crowded.id(), 0);
    // As many tasks as all machines have room for.
    SimulatedUsers.KnownJob second =
        w.users.submitArray("two", "high", (int) (w.size.maxTeamCpus() / 2), 20);
    w.run(BEGIN_MS);
    int after = w.checker.startsByMachine.getOrDefault(crowded.id(), 0);
    assertTrue(crowded.isGone() || after > before, "it got no work again");
    SeededDaysTest.settle(w);
    assertTrue(second.done, "the second array is not done");
  }
}
