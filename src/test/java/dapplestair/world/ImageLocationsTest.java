package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a leader knows of machines' images outlives it (docs/weights.md). */
class ImageLocationsTest {
  /** A model of four gigabytes: on one gigabyte a second its fetch takes four seconds. */
  private static final double GB = 4;

  private static SimulatedUsers.KnownJob model(SimulatedCluster w, int replicas) {
    return w.users.submitModifiedArray(
        "one",
        replicas,
        0,
        b ->
            b.put("shape", "daemon")
                .put("jobclass", "model")
                .put("rank", "critical")
                .put("vcpus", 2.0)
                .put("loaners", false)
                .put("bundle", "weights-1")
                .put("imageGb", GB));
  }

  /** Some machines hold the weights, others not, and nothing runs that would tell which. */
  private static SimulatedCluster begun(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    w.network.lossProbability = 0;
    w.users.submissionsStopped = true;
    // One on each machine, so that all of them stay and each has room for one replica more.
    w.users.submitModifiedArray("two", 14, 900, b -> b.put("vcpus", 5.0).put("loaners", false));
    w.run(25_000);
    SimulatedUsers.KnownJob model = model(w, 6);
    w.run(60_000);
    assertTrue(model.starts >= 6, "the model does not run");
    w.users.cancel(model);
    w.run(10_000);
    return w;
  }

  private static long firstStartMs(SimulatedCluster w) {
    SimulatedUsers.KnownJob again = model(w, 5);
    long at = w.sim.now();
    while (again.starts < 5 && w.sim.now() - at < 20_000) {
      w.run(50);
    }
    return w.sim.now() - at;
  }

  /** The next leader starts replicas where their weights are, without a fetch. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6501, 6502, 6503, 6504})
  void theNextLeaderKnows(long seed) {
    SimulatedCluster w = begun(seed);
    w.leader().crash(4000);
    w.run(8000);
    long ms = firstStartMs(w);
    assertTrue(ms < 1000 * GB * 2 / 3, ms + " ms: it was fetched again");
  }

  /** Hints that are wrong cost a fetch and nothing else; gone machines are named no more. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6511, 6512})
  void wrongHintsCostAFetch(long seed) {
    SimulatedCluster w = begun(seed);
    List.copyOf(w.cloud.machines()).stream()
        .filter(m -> !m.isGone() && !m.isSpot() && w.sim.chance(0.5))
        .forEach(EmulatedWorker::powerOff);
    w.nodes.forEach(n -> n.crash(1500));
    w.run(6000);
    assertTrue(firstStartMs(w) < 20_000, "it does not start");
  }

  /** Few puts, however many images come and go. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6521, 6522})
  void putsAreFew(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    w.network.lossProbability = 0;
    long before = w.state.writeCountUnder("live/weights/");
    w.run(180_000);
    long puts = w.state.writeCountUnder("live/weights/") - before;
    assertTrue(
        puts > 0 && puts <= 180_000 / (2 * SimulatedCluster.REPORT_INTERVAL_MS), puts + " puts");
    SeededDaysTest.settle(w);
  }
}
