package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Capacity that a team borrows returns to the team that it is guaranteed to, whatever the ranks of
 * the jobs.
 */
class GuaranteeTest {
  // The cluster has 96 CPUs in all; each of the two teams is guaranteed 40 and limited to 80.
  private static final SimulatedCluster.Size TIGHT = new SimulatedCluster.Size(2, 40, 1_000_000, 1);

  private static long countRunningTasks(SimulatedCluster cluster, SimulatedUsers.KnownJob job) {
    return cluster.cloud.machines().stream()
        .filter(m -> !m.isGone())
        .flatMap(m -> m.tasks().stream())
        .filter(t -> t.isOnMachine() && t.key().startsWith(job.ref + "/"))
        .count();
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  void borrowersOfEqualRankAreEvictedForTheOwner(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, TIGHT);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.run(5000);
    SimulatedUsers.KnownJob borrowersJob = cluster.users.submitArray("one", "standard", 40, 300);
    cluster.run(60_000);
    assertTrue(
        countRunningTasks(cluster, borrowersJob) >= 30,
        countRunningTasks(cluster, borrowersJob) + " tasks of the borrower run");
    SimulatedUsers.KnownJob ownersJob = cluster.users.submitArray("two", "standard", 20, 300);
    cluster.run(30_000);
    long runningOfOwner = countRunningTasks(cluster, ownersJob);
    long runningOfBorrower = countRunningTasks(cluster, borrowersJob);
    // A machine that never boots leaves less for both teams; the borrower is then down to its own
    // share.
    assertTrue(
        runningOfOwner >= 18 || runningOfBorrower <= 20,
        runningOfOwner
            + " of the owner's 20 tasks run, "
            + runningOfBorrower
            + " tasks of the borrower still run");
    assertTrue(
        runningOfBorrower >= 18,
        runningOfBorrower + " tasks of the borrower run; its own share is 20");
  }
}
