package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that a leader's knowledge of which machines hold which image survives a leader change
 * (docs/weights.md).
 */
class ImageLocationsTest {
  /**
   * Image size of the model, in gigabytes: at one gigabyte per second a fetch takes four seconds.
   */
  private static final double IMAGE_GB = 4;

  private static SimulatedUsers.KnownJob submitModel(SimulatedCluster cluster, int replicas) {
    return cluster.users.submitModifiedArray(
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
                .put("imageGb", IMAGE_GB));
  }

  /**
   * Starts a cluster in which some machines hold the image and others do not, and no running task
   * shows which.
   */
  private static SimulatedCluster startWithFetchedImages(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    // One task on each machine, so that all machines stay and each has room for one more replica.
    cluster.users.submitModifiedArray(
        "two", 14, 900, b -> b.put("vcpus", 5.0).put("loaners", false));
    cluster.run(25_000);
    SimulatedUsers.KnownJob model = submitModel(cluster, 6);
    cluster.run(60_000);
    assertTrue(model.starts >= 6, "the model does not run");
    cluster.users.cancel(model);
    cluster.run(10_000);
    return cluster;
  }

  private static long startReplicasMs(SimulatedCluster cluster) {
    SimulatedUsers.KnownJob model = submitModel(cluster, 5);
    long submittedAtMs = cluster.sim.now();
    while (model.starts < 5 && cluster.sim.now() - submittedAtMs < 20_000) {
      cluster.run(50);
    }
    return cluster.sim.now() - submittedAtMs;
  }

  /** The next leader starts replicas on machines that hold their image, without a fetch. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6501, 6502, 6503, 6504})
  void theNextLeaderStartsReplicasWhereTheImageIs(long seed) {
    SimulatedCluster cluster = startWithFetchedImages(seed);
    cluster.leader().crash(4000);
    cluster.run(8000);
    long startMs = startReplicasMs(cluster);
    assertTrue(
        startMs < 1000 * IMAGE_GB * 2 / 3,
        startMs + " ms until all replicas started: the image was fetched again");
  }

  /** Wrong hints cost a fetch and nothing else, and machines that are gone are no longer listed. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6511, 6512})
  void wrongHintsCostAFetch(long seed) {
    SimulatedCluster cluster = startWithFetchedImages(seed);
    List.copyOf(cluster.cloud.machines()).stream()
        .filter(m -> !m.isGone() && !m.isSpot() && cluster.sim.chance(0.5))
        .forEach(EmulatedWorker::powerOff);
    cluster.nodes.forEach(n -> n.crash(1500));
    cluster.run(6000);
    assertTrue(startReplicasMs(cluster) < 20_000, "the replicas did not start");
  }

  /** Recording image locations takes few puts, however many images are fetched and dropped. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6521, 6522})
  void imageLocationsTakeFewPuts(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    cluster.network.lossProbability = 0;
    long putsBefore = cluster.state.writeCountUnder("live/weights/");
    cluster.run(180_000);
    long puts = cluster.state.writeCountUnder("live/weights/") - putsBefore;
    assertTrue(
        puts > 0 && puts <= 180_000 / (2 * SimulatedCluster.REPORT_INTERVAL_MS), puts + " puts");
    SeededDaysTest.settle(cluster);
  }
}
