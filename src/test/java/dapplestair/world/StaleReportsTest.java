package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against trust in stale reports: old reports reach every controller just as a new leader
 * begins, or reach the new leader once it has acted (docs/meetings.md). They lack tasks that were
 * launched since, and show tasks that have ended.
 */
class StaleReportsTest {
  private static final int LEADER_CHANGES = 5;

  /**
   * Starts a cluster in which tasks end and begin all the time, so that each report is soon out of
   * date.
   */
  private static SimulatedCluster startCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, new SimulatedCluster.Size(6, 30, 900, 8));
    cluster.network.lossProbability = 0;
    cluster.run(20_000);
    return cluster;
  }

  /**
   * The leader crashes {@code afterMs} after it has sent a launch: within a message, a put, a hold
   * or a lease. The launched tasks are on machines, and the copied reports lack them.
   */
  @ParameterizedTest(name = "seed {0}, {1} ms after a launch, the next has {2}, everywhere {3}")
  @CsvSource({
    "5001,1,BEGUN,true",
    "5002,30,BEGUN,true",
    "5003,400,BEGUN,true",
    "5004,1700,BEGUN,true",
    "5005,8000,BEGUN,true",
    "5006,1,ACTED,false",
    "5007,30,ACTED,false",
    "5008,400,ACTED,true",
    "5009,1700,ACTED,false",
    "5010,8000,ACTED,true"
  })
  void staleReportsReachTheNextLeader(
      long seed, long afterMs, DelayedReports.Arrival arrival, boolean everywhere) {
    SimulatedCluster cluster = startCluster(seed);
    DelayedReports reports = new DelayedReports(cluster, 1, 2 * SimulatedCluster.LEASE_MS);
    for (int i = 0; i < LEADER_CHANGES; i++) {
      cluster.network.runAfterFirst(
          r -> r.hasOrder("launch"),
          afterMs,
          () -> {
            reports.deliverAfterLeaderChange(
                arrival, everywhere, SimulatedCluster.REPORT_INTERVAL_MS);
            if (cluster.leader() != null) {
              cluster.leader().crash(cluster.sim.between(500, 5000));
            }
          });
      cluster.run(SimulatedCluster.LEASE_MS + cluster.sim.between(0, 3000));
    }
    assertTrue(
        cluster.network.lateAccepted.get() > 100,
        "too few copies of reports were accepted: " + cluster.network.lateAccepted);
    SeededDaysTest.settle(cluster);
  }

  /**
   * No controller responds for longer than a lease, so the copied reports are of an earlier
   * session.
   */
  @ParameterizedTest(name = "seed {0}, {1} ms after a launch, the next has {2}")
  @CsvSource({"5021,1,BEGUN", "5022,400,BEGUN", "5023,1700,BEGUN", "5024,1,ACTED"})
  void staleReportsOfAnEarlierSession(long seed, long afterMs, DelayedReports.Arrival arrival) {
    SimulatedCluster cluster = startCluster(seed);
    DelayedReports reports = new DelayedReports(cluster, 1, 4 * SimulatedCluster.LEASE_MS);
    cluster.run(SimulatedCluster.REPORT_INTERVAL_MS);
    reports.deliverAfterLeaderChange(arrival, true, SimulatedCluster.REPORT_INTERVAL_MS);
    cluster.nodes.forEach(n -> n.crash(SimulatedCluster.LEASE_MS * 5 / 4));
    cluster.run(SimulatedCluster.LEASE_MS * 5 / 4 + 4000);
    assertTrue(cluster.cloud.tasksKilledByLease() > 0, "no session has ended");
    cluster.network.runAfterFirst(
        r -> r.hasOrder("launch"),
        afterMs,
        () -> {
          reports.deliverAfterLeaderChange(arrival, true, SimulatedCluster.REPORT_INTERVAL_MS);
          cluster.leader().crash(2000);
        });
    cluster.run(SimulatedCluster.LEASE_MS);
    assertTrue(
        cluster.network.lateAccepted.get() > 50,
        "too few copies of reports were accepted: " + cluster.network.lateAccepted);
    SeededDaysTest.settle(cluster);
  }
}
