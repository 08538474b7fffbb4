package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a team borrows goes back to its owner, whatever the rank. */
class GuaranteeTest {
  // 96 CPUs in all; each of the two teams is guaranteed 40 and limited to 80.
  private static final SimulatedCluster.Size TIGHT = new SimulatedCluster.Size(2, 40, 1_000_000, 1);

  private static long countRunningTasks(SimulatedCluster cluster, SimulatedUsers.KnownJob job) {
    return cluster.cloud.machines().stream()
        .filter(m -> !m.gone())
        .flatMap(m -> m.tasks().stream())
        .filter(t -> t.onMachine() && t.key().startsWith(job.ref + "/"))
        .count();
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  void borrowersOfEqualRankAreEvictedForTheOwner(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, TIGHT);
    cluster.net.loss = 0;
    cluster.users.quiet = true;
    cluster.run(5000);
    SimulatedUsers.KnownJob borrowersJob = cluster.users.array("one", "standard", 40, 300);
    cluster.run(60_000);
    assertTrue(
        countRunningTasks(cluster, borrowersJob) >= 30,
        countRunningTasks(cluster, borrowersJob) + " borrowers run");
    SimulatedUsers.KnownJob ownersJob = cluster.users.array("two", "standard", 20, 300);
    cluster.run(30_000);
    long runningOfOwner = countRunningTasks(cluster, ownersJob);
    long runningOfBorrower = countRunningTasks(cluster, borrowersJob);
    // A machine that never boots leaves less for both: then the borrower is down to its own share.
    assertTrue(
        runningOfOwner >= 18 || runningOfBorrower <= 20,
        runningOfOwner + " of 20 run, " + runningOfBorrower + " are still borrowed");
    assertTrue(runningOfBorrower >= 18, runningOfBorrower + " left of the borrower's own 20");
  }
}
