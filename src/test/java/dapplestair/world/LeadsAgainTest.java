package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A controller leads again soon after it has lost the lead, with launches and ends not on record.
 */
class LeadsAgainTest {
  private static final SimulatedCluster.Size CROWDED = new SimulatedCluster.Size(16, 50, 350, 12);
  private static final int ROUNDS = 24;
  private static final long REFUSED_MS = 900;

  /** The leader's key is lost; for a while nobody but the same controller can win it. */
  private static void loseLead(
      SimulatedCluster w, SimulatedCluster.ControllerNode leader, boolean othersRefused) {
    for (SimulatedCluster.ControllerNode node : w.nodes) {
      if (node != leader && othersRefused) {
        w.state.setRefused("node-" + node.index, true);
        w.sim.after(REFUSED_MS, () -> w.state.setRefused("node-" + node.index, false));
      }
    }
    LeaderChange.removeLeaderKey(w);
  }

  @ParameterizedTest(name = "seed {0}, state service out for {1} ms before")
  @CsvSource({"5,0", "34,0", "37,0", "5,3000", "9,3000", "14,3000", "5,6000", "8,6000", "393,6000"})
  void nothingOfTheFormerTermIsWrittenOrFreed(long seed, long outageMs) {
    SimulatedCluster w = new SimulatedCluster(seed, CROWDED);
    w.users.cancelledArrayShare = 0.4;
    w.run(20_000);
    int again = 0;
    for (int i = 0; i < ROUNDS; i++) {
      SimulatedCluster.ControllerNode before = w.leader();
      if (before != null) {
        if (outageMs > 0) {
          w.state.beginOutage();
          w.run(outageMs);
          w.state.endOutage();
          w.run(w.sim.between(0, 40));
        }
        loseLead(w, before, w.sim.chance(0.8));
      }
      w.run(w.sim.between(1200, 3500));
      again += before != null && w.leader() == before ? 1 : 0;
    }
    assertTrue(again > ROUNDS / 3, "the same controller led again only " + again + " times");
    SeededDaysTest.settle(w);
  }
}
