package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Jobs of two and three tasks that end at very different times, with changes of leader in between.
 */
class UnevenTaskDurationsTest {
  private static final double SHORT_S = 4;

  private static SimulatedCluster startCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.run(5000);
    cluster.users.submitArray("two", "standard", 52, 4);
    cluster.run(10_000);
    return cluster;
  }

  /** Submits a job whose tasks run for these multiples of the shortest duration. */
  private static SimulatedUsers.KnownJob submitJob(SimulatedCluster cluster, double... factors) {
    return cluster.users.submitModifiedArray(
        "one",
        factors.length,
        SHORT_S,
        b -> {
          ArrayNode runFactors = b.putArray("runFactors");
          for (double factor : factors) {
            runFactors.add(factor);
          }
        });
  }

  private static List<SimulatedUsers.KnownJob> submitJobs(SimulatedCluster cluster) {
    List<SimulatedUsers.KnownJob> submitted = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      submitted.add(submitJob(cluster, 1, 6 + i));
      submitted.add(submitJob(cluster, 5 + i, 1, 2));
    }
    return submitted;
  }

  private static boolean isCompleted(
      SimulatedCluster cluster, SimulatedUsers.KnownJob job, int taskIndex) {
    return cluster.checker.hasCompleted(job.ref + "/" + taskIndex);
  }

  private static void awaitCompletion(
      SimulatedCluster cluster, SimulatedUsers.KnownJob job, int taskIndex) {
    for (int i = 0; i < 400 && !isCompleted(cluster, job, taskIndex); i++) {
      cluster.run(50);
    }
    assertTrue(isCompleted(cluster, job, taskIndex), job.ref + "/" + taskIndex + " has not ended");
  }

  /** Checks that the job is done and that each of its tasks was started once. */
  private static void assertDoneOnce(SimulatedUsers.KnownJob job) {
    assertTrue(job.done, () -> job.ref + " is not done");
    assertEquals(job.taskCount, job.starts, () -> "starts of " + job.ref);
  }

  /**
   * The leader crashes some time after the first task end, and the next leader before the last one.
   */
  @ParameterizedTest(name = "seed {0}, the leader ends {1} ms after the first end, the next {2} ms")
  @CsvSource({
    "9401,0,-1",
    "9402,30,-1",
    "9403,400,-1",
    "9404,1700,-1",
    "9405,3000,-1",
    "9406,0,3000",
    "9407,30,9000",
    "9408,400,400",
    "9409,1700,1700",
    "9410,3000,9000"
  })
  void aJobIsDoneOnceAllItsTasksHaveEnded(long seed, long leaderCrashMs, long nextLeaderCrashMs) {
    SimulatedCluster cluster = startCluster(seed);
    List<SimulatedUsers.KnownJob> jobs = submitJobs(cluster);
    awaitCompletion(cluster, jobs.get(0), 0);
    cluster.run(leaderCrashMs);
    cluster.leader().crash(cluster.sim.between(100, 3000));
    if (nextLeaderCrashMs >= 0) {
      cluster.run(nextLeaderCrashMs);
      if (cluster.leader() != null) {
        cluster.leader().crash(cluster.sim.between(100, 3000));
      }
    }
    jobs.forEach(
        job -> assertFalse(job.done, () -> job.ref + " is done before its last task ended"));
    cluster.run(45_000);
    jobs.forEach(UnevenTaskDurationsTest::assertDoneOnce);
    SeededDaysTest.settle(cluster);
  }

  /**
   * The leader gets the report of the first task end while it cannot record anything, and crashes.
   * Only the leader and the worker knew of the end, so the worker has to go on reporting it.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {9421, 9422, 9423, 9424})
  void aTaskEndKnownOnlyToTheFormerLeader(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    List<SimulatedUsers.KnownJob> jobs = submitJobs(cluster);
    SimulatedCluster.ControllerNode leader = cluster.leader();
    awaitCompletion(cluster, jobs.get(0), 0);
    cluster.network.cut("node-" + leader.index, "state:1", seed % 2 == 0);
    // The worker reports the end after half a second, and gets a response.
    cluster.run(700);
    assertEquals(
        leader, cluster.leader(), "the leader changed, so the first leader did not get the report");
    leader.crash(4000);
    cluster.run(2500);
    cluster.network.heal("node-" + leader.index, "state:1");
    cluster.run(45_000);
    jobs.forEach(UnevenTaskDurationsTest::assertDoneOnce);
    SeededDaysTest.settle(cluster);
  }
}
