package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Teams without a guarantee: swarms of single-task jobs, and arrays of thousands of small tasks.
 */
class NoGuaranteeTest {
  /**
   * Maximum puts for each job of one task: its acceptance, its end, the job's key, and shares of
   * two more, for its launch and for a launch batch.
   */
  private static final double MAX_PUTS_PER_JOB = 3.6;

  private static SimulatedCluster startCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.users.submitService("one", 3);
    cluster.run(15_000);
    return cluster;
  }

  private static SimulatedUsers.KnownJob submitSingleTaskJob(
      SimulatedCluster cluster, double runS) {
    return cluster.users.submitModifiedArray(
        "guest", 1, runS, b -> b.put("rank", "low").put("vcpus", 0.25).put("jobclass", "swarm"));
  }

  private static List<SimulatedUsers.KnownJob> submitSwarm(
      SimulatedCluster cluster, int jobs, long intervalMs, double runS) {
    List<SimulatedUsers.KnownJob> submitted = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      cluster.sim.after(i * intervalMs, () -> submitted.add(submitSingleTaskJob(cluster, runS)));
    }
    return submitted;
  }

  /** Launches share puts, and a job of one task leaves no record of its own. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {4001, 4003, 4004})
  void aSwarmSharesPuts(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    long putsBefore = cluster.state.writeCount();
    List<SimulatedUsers.KnownJob> swarm = submitSwarm(cluster, 300, 130, 20);
    cluster.run(300 * 130 + 40_000);
    swarm.forEach(j -> assertTrue(j.done, j.ref + " is not done"));
    double putsPerJob = (cluster.state.writeCount() - putsBefore) / 300.0;
    assertTrue(putsPerJob <= MAX_PUTS_PER_JOB, putsPerJob + " puts for each job");
    assertEquals(
        List.of(), cluster.state.keys("live/sheet/"), "launch batches left after all jobs ended");
    cluster.checker.checkHalfServed();
  }

  /**
   * Submits far more jobs than the state service can take: the swarm is deferred, and jobs of other
   * teams are accepted in time.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {4041, 4042, 4043})
  void othersAreAcceptedInTime(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    submitSwarm(cluster, 2400, 8, 5);
    List<SimulatedUsers.KnownJob> otherJobs = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      cluster.run(1000);
      otherJobs.add(cluster.users.submitArray("one", "high", 2, 4));
    }
    cluster.run(20_000);
    long acceptedLate =
        otherJobs.stream().filter(j -> j.acceptedAtMs - j.submittedAtMs > 1000).count();
    assertTrue(
        acceptedLate <= 1, acceptedLate + " of 20 jobs were accepted after more than a second");
    otherJobs.forEach(j -> assertTrue(j.accepted, j.ref + " is not accepted"));
  }

  /** Leaders crash while only launch batches record hundreds of tasks, some of which have ended. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {4011, 4012, 4013, 4014, 4015, 4016, 4017, 4018})
  void aSwarmSurvivesLeaderCrashes(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    List<SimulatedUsers.KnownJob> swarm = submitSwarm(cluster, 250, 130, 12);
    for (int i = 0; i < 4; i++) {
      cluster.run(6000 + cluster.sim.between(0, 2000));
      if (i == 2) {
        cluster.nodes.forEach(n -> n.crash(cluster.sim.between(1000, 3000)));
      } else if (cluster.leader() != null) {
        cluster.leader().crash(cluster.sim.between(1000, 4000));
      }
      for (int k = 0; k < 10 && k < swarm.size(); k++) {
        cluster.users.cancel(swarm.get((int) cluster.sim.between(0, swarm.size() - 1)));
      }
    }
    cluster.run(70_000);
    swarm.forEach(j -> assertTrue(j.done || j.aborted, j.ref + " has not ended"));
    assertEquals(
        List.of(), cluster.state.keys("live/sheet/"), "launch batches left after all jobs ended");
    cluster.checker.checkHalfServed();
  }

  /**
   * Machines terminate and workers' leases expire while only launch batches record what runs there.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {4021, 4022, 4024, 4025})
  void aSwarmSurvivesMachineFailures(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    List<SimulatedUsers.KnownJob> swarm = submitSwarm(cluster, 150, 130, 25);
    cluster.run(20_000);
    cluster.cloud.machines().stream()
        .filter(m -> m.hasBooted() && cluster.sim.chance(0.4))
        .forEach(m -> m.powerOff());
    cluster.run(2000);
    cluster.leader().crash(2500);
    cluster.run(4000);
    cluster.cloud.machines().stream()
        .filter(m -> m.hasBooted() && cluster.sim.chance(0.4))
        .forEach(m -> m.hang(SimulatedCluster.LEASE_MS + 2000));
    cluster.run(120_000);
    swarm.forEach(j -> assertTrue(j.done, j.ref + " is not done"));
    assertEquals(
        List.of(), cluster.state.keys("live/sheet/"), "launch batches left after all jobs ended");
  }

  /**
   * Arrays of thousands of tasks that take seconds: one is cancelled midway, and all controllers
   * crash.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {4031, 4032})
  void veryLargeArraysEnd(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    SimulatedUsers.KnownJob[] arrays = new SimulatedUsers.KnownJob[2];
    for (int i = 0; i < 2; i++) {
      arrays[i] =
          cluster.users.submitModifiedArray(
              "guest", 2500, 3, b -> b.put("rank", "low").put("vcpus", 0.25).put("memoryGb", 0.4));
    }
    SimulatedUsers.KnownJob other = cluster.users.submitArray("one", "high", 20, 5);
    cluster.run(30_000);
    assertTrue(other.done, "the other team's array is not done");
    cluster.nodes.forEach(n -> n.crash(2000));
    cluster.run(20_000);
    cluster.users.cancel(arrays[1]);
    cluster.run(300_000);
    assertTrue(arrays[0].done, "not done, " + arrays[0].starts + " starts");
    assertTrue(arrays[1].done || arrays[1].aborted, "neither done nor cancelled");
    assertTrue(arrays[0].starts < 2 * 2500, arrays[0].starts + " starts of 2,500 tasks");
  }
}
