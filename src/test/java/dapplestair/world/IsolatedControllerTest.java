package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests controllers that lose the state service and each other but not their workers, and processes
 * that restart within a fraction of a second (docs/known.md).
 */
class IsolatedControllerTest {
  private static final long ISOLATION_MS = 2 * SimulatedCluster.LEASE_MS;

  private static SimulatedCluster startServices(long seed) {
    SimulatedCluster cluster = DisruptionTest.startServices(seed, 5, 5);
    cluster.checker.teamDisruptionBudget = null;
    return cluster;
  }

  private static int requestUpStatus(
      SimulatedCluster cluster, SimulatedCluster.ControllerNode node) {
    int[] status = {0};
    cluster.network.call(
        "balancer",
        SimulatedCluster.clientAddress(node.index),
        "GET",
        "/up",
        null,
        1000,
        r -> status[0] = r.status());
    cluster.run(1000);
    return status[0];
  }

  /**
   * Another controller leads, the workers move to it with all of their tasks, and the isolated
   * controller sends users away.
   */
  @ParameterizedTest(name = "seed {0}, {1} of them led, held back: {2}")
  @CsvSource({"6201,1,false", "6202,1,true", "6203,0,false", "6204,0,true", "6205,1,false"})
  void anIsolatedControllerReleasesLeadershipAndWorkers(
      long seed, int ledControllers, boolean hold) {
    SimulatedCluster cluster = startServices(seed);
    SimulatedCluster.ControllerNode leader = cluster.leader();
    SimulatedCluster.ControllerNode isolated =
        ledControllers > 0 ? leader : cluster.nodes.get((leader.index + 1) % 3);
    int killedBefore = cluster.cloud.tasksKilledByLease();
    new RandomFaults(cluster).isolateFromPeersAndState(isolated, hold, ISOLATION_MS);
    SimulatedUsers.KnownJob job = cluster.users.submitArray("one", "high", 20, 5);
    cluster.run(SimulatedCluster.LEASE_MS / 2);
    assertNotEquals(isolated, cluster.leader(), "the isolated controller still leads");
    assertEquals(
        503,
        requestUpStatus(cluster, isolated),
        "status of /up: users are still sent to the isolated controller");
    int beatsBefore = isolated.reportsReceived;
    cluster.run(SimulatedCluster.LEASE_MS);
    assertTrue(
        isolated.reportsReceived - beatsBefore <= 5,
        isolated.reportsReceived
            - beatsBefore
            + " reports still arrived at the isolated controller");
    cluster.run(ISOLATION_MS - SimulatedCluster.LEASE_MS);
    assertEquals(
        killedBefore, cluster.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
    assertTrue(job.done, "the array is not done");
    SimulatedCluster.ControllerNode leaderBeforeReturn = cluster.leader();
    cluster.run(SimulatedCluster.LEASE_MS);
    assertEquals(
        leaderBeforeReturn,
        cluster.leader(),
        "the leader changed when the isolated controller returned");
    assertEquals(
        200, requestUpStatus(cluster, isolated), "status of /up of the returned controller");
    SeededDaysTest.settle(cluster);
  }

  /** Two controllers are isolated at once, one of them the leader: the third one leads. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6211, 6212, 6213})
  void twoControllersIsolatedAtOnce(long seed) {
    SimulatedCluster cluster = startServices(seed);
    SimulatedCluster.ControllerNode leader = cluster.leader();
    RandomFaults faults = new RandomFaults(cluster);
    faults.isolateFromPeersAndState(leader, false, ISOLATION_MS);
    faults.isolateFromPeersAndState(cluster.nodes.get((leader.index + 1) % 3), true, ISOLATION_MS);
    int killedBefore = cluster.cloud.tasksKilledByLease();
    cluster.run(ISOLATION_MS);
    assertEquals(cluster.nodes.get((leader.index + 2) % 3), cluster.leader());
    assertEquals(
        killedBefore, cluster.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
    SeededDaysTest.settle(cluster);
  }

  /**
   * An outage of the state service for all controllers does not make them send users away: users
   * are told when to retry.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6221, 6222})
  void controllersStayUpInAStateServiceOutage(long seed) {
    SimulatedCluster cluster = startServices(seed);
    cluster.state.beginOutage();
    cluster.run(SimulatedCluster.LEASE_MS / 2);
    cluster.nodes.forEach(
        n ->
            assertEquals(
                200,
                requestUpStatus(cluster, n),
                "status of /up: no controller is left to answer users"));
    cluster.state.endOutage();
    SeededDaysTest.settle(cluster);
  }

  /**
   * One to three controllers restart within a fraction of a second, twice, the second time in the
   * middle of the election.
   */
  @ParameterizedTest(name = "seed {0}, {1} at once")
  @CsvSource({
    "6231,1", "6232,2", "6233,3", "6234,1", "6235,2", "6236,3", "6237,2", "6238,3", "6239,3"
  })
  void controllersThatRestartWithinAFractionOfASecond(long seed, int restartedControllers) {
    SimulatedCluster cluster = startServices(seed);
    int killedBefore = cluster.cloud.tasksKilledByLease();
    for (int round = 0; round < 4; round++) {
      for (int repetition = 0; repetition < 2; repetition++) {
        int first = cluster.leader() == null ? 0 : cluster.leader().index;
        for (int i = 0; i < restartedControllers; i++) {
          cluster.nodes.get((first + i) % 3).crash(cluster.sim.between(50, 600));
        }
        cluster.run(cluster.sim.between(100, 1200));
      }
      long leaderlessMs = 0;
      while (cluster.leader() == null || !cluster.leader().isUp()) {
        cluster.run(100);
        leaderlessMs += 100;
        // The hold before a new leader acts, and two report intervals.
        assertTrue(
            leaderlessMs
                <= SimulatedCluster.LEASE_MS / 10 + 2 * SimulatedCluster.REPORT_INTERVAL_MS,
            "no controller leads");
      }
      cluster.run(4000);
    }
    assertEquals(
        killedBefore, cluster.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
    SeededDaysTest.settle(cluster);
  }
}
