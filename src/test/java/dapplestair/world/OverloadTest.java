package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against starvation under overload: more jobs than the cluster has capacity for, urgent and
 * not, over slow links, while leaders crash. Urgent jobs start soon, the others within their bound,
 * and no task runs twice or beyond a limit.
 */
class OverloadTest {
  private static final long OVERLOAD_MS = 90_000;

  /**
   * Two teams at their limits leave a small part of the 192 CPUs of the cluster to teams without a
   * guarantee.
   */
  private static final SimulatedCluster.Size LIMITED = new SimulatedCluster.Size(16, 45, 2150, 12);

  /** Maximum wait of an urgent job: a boot, a stop with its snapshot, and slow messages. */
  private static final long MAX_URGENT_WAIT_MS = 40_000;

  private final List<SimulatedUsers.KnownJob> urgentJobs = new ArrayList<>();

  private void submit(SimulatedCluster cluster, int number) {
    String team = number % 2 == 0 ? "one" : "two";
    switch (number % 4) {
      case 0 -> cluster.users.submitArray(team, "low", 16, 6);
      case 1 ->
          cluster.users.submitModifiedArray(
              team,
              8,
              9,
              b -> b.put("rank", "standard").put("snapshotEveryS", 3.0).put("snapshotS", 1.0));
      case 2 -> urgentJobs.add(cluster.users.submitArray(team, "critical", 2, 5));
      default ->
          cluster.users.submitModifiedArray(
              "guest", 12, 6, b -> b.put("rank", "low").put("jobclass", "guest"));
    }
  }

  /**
   * Submits twice the work that the cluster has capacity for; links are slow, and the leader
   * crashes after {@code leaderCrashMs}.
   */
  @ParameterizedTest(name = "seed {0}, links up to {1} ms slower, leader ends after {2} ms")
  @CsvSource({
    "9501,0,-1",
    "9503,300,30",
    "9504,700,400",
    "9506,300,3000",
    "9507,700,17000",
    "9508,1200,9000"
  })
  void urgentJobsStartInTimeUnderOverload(long seed, long slowMs, long leaderCrashMs) {
    SimulatedCluster cluster = new SimulatedCluster(seed, LIMITED);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.cloud.setCapacityShare(0.25);
    cluster.users.submitService("one", 3);
    cluster.users.submitService("two", 3);
    cluster.run(20_000);
    cluster.network.maxExtraDelayMs = slowMs;
    cluster.network.isSlowLink = (a, b) -> !a.startsWith("state") && !b.startsWith("state");
    int number = 0;
    for (long elapsedMs = 0; elapsedMs < OVERLOAD_MS; elapsedMs += 600) {
      submit(cluster, number++);
      cluster.run(600);
      if (leaderCrashMs >= 0 && number % 50 == 25) {
        cluster.sim.after(leaderCrashMs, () -> crashLeader(cluster));
        cancelSomeJobs(cluster);
      }
    }
    cluster.network.maxExtraDelayMs = 0;
    SeededDaysTest.settle(cluster);
    for (SimulatedUsers.KnownJob job : urgentJobs) {
      assertTrue(
          !job.accepted || job.cancelRequested || waitedMs(job) <= MAX_URGENT_WAIT_MS,
          () -> job.ref + " waited for " + waitedMs(job) + " ms");
    }
  }

  private static long waitedMs(SimulatedUsers.KnownJob job) {
    return job.begunAtMs() - job.submittedAtMs;
  }

  private static void crashLeader(SimulatedCluster cluster) {
    if (cluster.leader() != null) {
      cluster.leader().crash(cluster.sim.between(300, 4000));
    }
  }

  private static void cancelSomeJobs(SimulatedCluster cluster) {
    for (SimulatedUsers.KnownJob job : List.copyOf(cluster.users.jobs.values())) {
      if (job.accepted && !job.done && !job.cancelRequested && cluster.sim.chance(0.2)) {
        cluster.users.cancel(job);
      }
    }
  }
}
