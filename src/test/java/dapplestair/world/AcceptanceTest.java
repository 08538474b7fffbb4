package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** How soon submissions are accepted while the state service serves only in part. */
class AcceptanceTest {
  private static final int SUBMISSIONS = 60;
  private static final long SOON_MS = 1000;

  private static SimulatedCluster begun(long seed) {
    SimulatedCluster w = DisruptionTest.begun(seed, 5, 5);
    w.checker.teamDisruptionBudget = null;
    w.users.submissionsStopped = true;
    return w;
  }

  /** Submits small jobs at a steady pace; returns the share that was accepted soon. */
  private static double soonAccepted(SimulatedCluster w) {
    List<SimulatedUsers.KnownJob> jobs = new ArrayList<>();
    for (int i = 0; i < SUBMISSIONS; i++) {
      jobs.add(w.users.submitArray("one", "high", 1, 2));
      w.run(w.sim.between(200, 600));
    }
    w.run(10_000);
    long soon =
        jobs.stream()
            .filter(j -> j.accepted && j.acceptedAtMs - j.submittedAtMs <= SOON_MS)
            .count();
    return (double) soon / SUBMISSIONS;
  }

  /** A transaction whose answer is lost is repeated at once, not after the longest time-out. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {7101, 7102, 7103, 7104})
  void lostAnswersDelayNobodyForLong(long seed) {
    SimulatedCluster w = begun(seed);
    w.network.lateWriteProbability = 0.25;
    double soon = soonAccepted(w);
    w.network.lateWriteProbability = 0;
    assertTrue(soon >= 0.9, "accepted within a second: " + soon);
    SeededDaysTest.settle(w);
  }

  /**
   * While the state service refuses one controller alone, a peer answers the users whose
   * connections are still there, and what it confirms as cancelled stops in time.
   */
  @ParameterizedTest(name = "seed {0}, the leader: {1}")
  @CsvSource({"7111,true", "7112,true", "7113,false", "7114,false"})
  void oneThatIsRefusedAloneHasAPeerAnswer(long seed, boolean leads) {
    SimulatedCluster w = begun(seed);
    SimulatedCluster.ControllerNode leader = w.leader();
    SimulatedCluster.ControllerNode refused = leads ? leader : w.nodes.get((leader.index + 1) % 3);
    SimulatedUsers.KnownJob cancelled = w.users.submitArray("two", "high", 10, 60);
    w.run(8000);
    w.state.setRefused("node-" + refused.index, true);
    // The time in which nobody leads is not what is looked at here.
    w.run(2 * SimulatedCluster.REPORT_INTERVAL_MS);
    w.users.cancelAt(cancelled, refused);
    double soon = soonAccepted(w);
    assertTrue(soon >= 0.95, "accepted within a second: " + soon);
    assertTrue(cancelled.aborted, "the cancellation was not confirmed");
    w.state.setRefused("node-" + refused.index, false);
    SeededDaysTest.settle(w);
  }
}
