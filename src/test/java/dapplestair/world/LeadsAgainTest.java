package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against stale state in a controller that leads again soon after it lost leadership, with
 * launches and ends that it had not recorded.
 */
class LeadsAgainTest {
  private static final SimulatedCluster.Size CROWDED = new SimulatedCluster.Size(16, 50, 350, 12);
  private static final int ROUNDS = 24;
  private static final long OTHERS_REFUSED_MS = 900;

  /**
   * Deletes the key of the leader; if {@code othersRefused}, the state service refuses the other
   * controllers for a while, so that only the same controller can win the election.
   */
  private static void loseLeaderKey(
      SimulatedCluster cluster, SimulatedCluster.ControllerNode leader, boolean othersRefused) {
    for (SimulatedCluster.ControllerNode node : cluster.nodes) {
      if (node != leader && othersRefused) {
        cluster.state.setRefused("node-" + node.index, true);
        cluster.sim.after(
            OTHERS_REFUSED_MS, () -> cluster.state.setRefused("node-" + node.index, false));
      }
    }
    LeaderChange.removeLeaderKey(cluster);
  }

  @ParameterizedTest(name = "seed {0}, state service out for {1} ms before")
  @CsvSource({"5,0", "34,0", "37,0", "5,3000", "9,3000", "14,3000", "5,6000", "8,6000", "393,6000"})
  void nothingOfTheFormerTermIsWrittenOrFreed(long seed, long outageMs) {
    SimulatedCluster cluster = new SimulatedCluster(seed, CROWDED);
    cluster.users.cancelledArrayShare = 0.4;
    cluster.run(20_000);
    int timesLedAgain = 0;
    for (int i = 0; i < ROUNDS; i++) {
      SimulatedCluster.ControllerNode formerLeader = cluster.leader();
      if (formerLeader != null) {
        if (outageMs > 0) {
          cluster.state.beginOutage();
          cluster.run(outageMs);
          cluster.state.endOutage();
          cluster.run(cluster.sim.between(0, 40));
        }
        loseLeaderKey(cluster, formerLeader, cluster.sim.chance(0.8));
      }
      cluster.run(cluster.sim.between(1200, 3500));
      timesLedAgain += formerLeader != null && cluster.leader() == formerLeader ? 1 : 0;
    }
    assertTrue(
        timesLedAgain > ROUNDS / 3,
        "the same controller led again only " + timesLedAgain + " times");
    SeededDaysTest.settle(cluster);
  }
}
