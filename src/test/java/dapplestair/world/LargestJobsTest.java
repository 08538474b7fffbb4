package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.settings.OperatorSettings;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The cluster is overloaded for minutes while leaders end: the largest jobs, jobs of the lowest
 * rank and jobs of teams without a guarantee still begin (docs/known.md).
 */
class LargestJobsTest {
  private static final double CLUSTER_CPUS = 192;
  private static final int SMALL_JOB_TASKS = 8;
  private static final double SMALL_TASK_S = 8;

  /**
   * Starts a cluster with a quarter of the machines that the cloud could have, and services with
   * replicas in each zone.
   */
  private static SimulatedCluster startCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.cloud.setCapacityShare(0.25);
    for (int i = 0; i < 4; i++) {
      cluster.users.submitService("two", 3);
    }
    cluster.run(20_000);
    return cluster;
  }

  /**
   * Submits small arrays of rank high at a rate at which they alone need {@code factor} times the
   * CPUs of the cluster.
   */
  private static void overload(
      SimulatedCluster cluster, double factor, double cpus, long durationMs) {
    double cpuSPerJob = SMALL_JOB_TASKS * cpus * SMALL_TASK_S;
    long intervalMs = Math.round(1000 * cpuSPerJob / (CLUSTER_CPUS * factor));
    for (long atMs = 0; atMs < durationMs; atMs += intervalMs) {
      String team = atMs / intervalMs % 2 == 0 ? "one" : "two";
      cluster.sim.after(
          atMs,
          () ->
              cluster.users.submitModifiedArray(
                  team,
                  SMALL_JOB_TASKS,
                  SMALL_TASK_S,
                  b -> b.put("rank", "high").put("vcpus", cpus).put("jobclass", "small")));
    }
  }

  /** Runs the cluster for {@code durationMs} while leaders end repeatedly. */
  private static void runWithLeaderCrashes(SimulatedCluster cluster, long durationMs) {
    long endMs = cluster.sim.now() + durationMs;
    while (cluster.sim.now() < endMs) {
      cluster.run(Math.min(endMs - cluster.sim.now(), 30_000 + cluster.sim.between(0, 20_000)));
      if (cluster.leader() != null) {
        cluster.leader().crash(cluster.sim.between(300, 4000));
      }
    }
  }

  private static List<SimulatedUsers.KnownJob> submitLargeJobs(SimulatedCluster cluster) {
    List<SimulatedUsers.KnownJob> largeJobs = new ArrayList<>();
    for (String team : List.of("one", "guest")) {
      largeJobs.add(
          cluster.users.submitModifiedArray(
              team, 120, 10, b -> b.put("rank", "low").put("jobclass", "large-" + team)));
    }
    // Each task is as large as a machine, and small tasks never leave a machine empty.
    largeJobs.add(
        cluster.users.submitModifiedArray(
            "one", 6, 10, b -> b.put("rank", "low").put("vcpus", 8.0).put("jobclass", "wide")));
    // A service of no high rank, whose replicas fit nowhere without evictions.
    largeJobs.add(
        cluster.users.submitModifiedArray(
            "two",
            4,
            0,
            b ->
                b.put("shape", "daemon")
                    .put("rank", "standard")
                    .put("apart", true)
                    .put("loaners", false)
                    .put("jobclass", "plain")));
    return largeJobs;
  }

  private static long waitMs(SimulatedCluster cluster, SimulatedUsers.KnownJob job) {
    return (job.begunAtMs() < 0 ? cluster.sim.now() : job.begunAtMs()) - job.submittedAtMs;
  }

  private static void assertBegunInTime(
      SimulatedCluster cluster, List<SimulatedUsers.KnownJob> jobs) {
    for (SimulatedUsers.KnownJob job : jobs) {
      assertTrue(
          job.begunAtMs() >= 0 && waitMs(cluster, job) <= InvariantChecker.MAX_START_WAIT_MS,
          () -> job.ref + " of " + job.jobClass + " waited for " + waitMs(cluster, job) + " ms");
    }
  }

  @ParameterizedTest(name = "seed {0}, {1} times too much, tasks of {2} CPUs")
  @CsvSource({"6001,1.5,2", "6003,3,2", "6004,4,1"})
  void longWaitingJobsBegin(long seed, double factor, double cpus) {
    SimulatedCluster cluster = startCluster(seed);
    overload(cluster, factor, cpus, 280_000);
    cluster.run(20_000);
    List<SimulatedUsers.KnownJob> largeJobs = submitLargeJobs(cluster);
    runWithLeaderCrashes(cluster, 255_000);
    assertBegunInTime(cluster, largeJobs);
    // No service replica was lost to make room for the large jobs.
    cluster.users.jobs.values().stream()
        .filter(j -> j.jobClass.equals("serve"))
        .forEach(j -> assertTrue(j.begunAtMs() >= 0, j.ref + " does not run"));
  }

  /**
   * The wait of a job counts from the first attempt to submit it, though it is accepted only after
   * an outage.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6021, 6022, 6023})
  void theWaitCountsFromTheFirstSubmissionAttempt(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    overload(cluster, 3, 2, 300_000);
    cluster.run(20_000);
    long outageMs = 55_000;
    cluster.state.beginOutage();
    SimulatedUsers.KnownJob largeJob = submitLargeJobs(cluster).get(0);
    cluster.run(outageMs);
    cluster.state.endOutage();
    cluster.run(InvariantChecker.MAX_START_WAIT_MS - outageMs);
    assertBegunInTime(cluster, List.of(largeJob));
    // The limit is three fifths of the bound plus the time to begin; the outage is not added.
    long maxWaitMs = InvariantChecker.MAX_START_WAIT_MS * 3 / 5 + outageMs * 2 / 3;
    assertTrue(
        waitMs(cluster, largeJob) <= maxWaitMs,
        "the job waited for " + waitMs(cluster, largeJob) + " ms");
  }

  /**
   * Long arrays of one class and team, of many sizes, need several times the free capacity: the
   * launch windows of arrays that have begun keep no other array from beginning.
   */
  @ParameterizedTest(name = "seed {0}, arrays of {1} tasks and more")
  @CsvSource({"6021,40", "6022,80", "6023,20"})
  void everyArrayBeginsThoughLaunchWindowsAreFull(long seed, int steps) {
    SimulatedCluster cluster = startCluster(seed);
    List<SimulatedUsers.KnownJob> arrays = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      int size = steps + (int) cluster.sim.between(0, 4 * steps);
      cluster.sim.after(
          i * 4_000L,
          () ->
              arrays.add(
                  cluster.users.submitModifiedArray(
                      "one", size, 60, b -> b.put("jobclass", "long"))));
    }
    cluster.run(24 * 4_000 + InvariantChecker.MAX_START_WAIT_MS);
    assertBegunInTime(cluster, arrays);
  }

  /**
   * Without a bound in the near future the same jobs do not begin, which shows that the other tests
   * depend on it.
   */
  @Test
  void largeJobsDoNotBeginWithoutTheBound() {
    SimulatedCluster cluster = new SimulatedCluster(6003, SimulatedCluster.Size.MEDIUM);
    OperatorSettings defaults = OperatorSettings.defaults();
    cluster.operatorSettings = defaults.withBeginWithinMs(24 * 3600_000);
    cluster.nodes.forEach(n -> n.crash(500));
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.cloud.setCapacityShare(0.25);
    cluster.run(20_000);
    overload(cluster, 3, 2, 280_000);
    cluster.run(20_000);
    List<SimulatedUsers.KnownJob> largeJobs = submitLargeJobs(cluster);
    cluster.run(255_000);
    assertFalse(
        largeJobs.stream()
            .allMatch(
                j ->
                    j.begunAtMs() >= 0 && waitMs(cluster, j) <= InvariantChecker.MAX_START_WAIT_MS),
        "all large jobs begin without the bound, so this class would not notice its absence");
  }

  /**
   * A gang as wide as a zone, of the lowest rank, begins; the capacity reserved for it stays
   * reserved across leader changes.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6011, 6012})
  void aGangAsWideAsAZoneBegins(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    overload(cluster, 2, 2, 280_000);
    cluster.run(20_000);
    SimulatedUsers.KnownJob gang =
        cluster.users.submitModifiedArray(
            "one",
            28,
            10,
            b ->
                b.put("shape", "gang")
                    .put("rank", "low")
                    .put("together", true)
                    .put("jobclass", "gang"));
    runWithLeaderCrashes(cluster, 250_000);
    assertBegunInTime(cluster, List.of(gang));
  }
}
