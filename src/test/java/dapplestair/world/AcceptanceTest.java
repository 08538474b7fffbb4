package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how soon submissions are accepted while the state service is only partly available. */
class AcceptanceTest {
  private static final int SUBMISSIONS = 60;
  private static final long PROMPT_MS = 1000;

  private static SimulatedCluster startCluster(long seed) {
    SimulatedCluster cluster = DisruptionTest.startServices(seed, 5, 5);
    cluster.checker.teamDisruptionBudget = null;
    cluster.users.submissionsStopped = true;
    return cluster;
  }

  /**
   * Submits small jobs at a steady pace and returns the share that was accepted within {@link
   * #PROMPT_MS}.
   */
  private static double promptlyAcceptedShare(SimulatedCluster cluster) {
    List<SimulatedUsers.KnownJob> jobs = new ArrayList<>();
    for (int i = 0; i < SUBMISSIONS; i++) {
      jobs.add(cluster.users.submitArray("one", "high", 1, 2));
      cluster.run(cluster.sim.between(200, 600));
    }
    cluster.run(10_000);
    long promptlyAccepted =
        jobs.stream()
            .filter(j -> j.accepted && j.acceptedAtMs - j.submittedAtMs <= PROMPT_MS)
            .count();
    return (double) promptlyAccepted / SUBMISSIONS;
  }

  /**
   * Guards against a transaction whose response is lost being repeated only after the longest
   * timeout. It is repeated at once.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {7101, 7102, 7103, 7104})
  void lostResponsesDelayNoSubmissionForLong(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    cluster.network.lateWriteProbability = 0.25;
    double acceptedShare = promptlyAcceptedShare(cluster);
    cluster.network.lateWriteProbability = 0;
    assertTrue(
        acceptedShare >= 0.9, "share of submissions accepted within a second: " + acceptedShare);
    SeededDaysTest.settle(cluster);
  }

  /**
   * While the state service refuses a single controller, a peer answers the requests of users who
   * are still connected to that controller, and the tasks of cancellations that it confirms stop in
   * time.
   */
  @ParameterizedTest(name = "seed {0}, the leader: {1}")
  @CsvSource({"7111,true", "7112,true", "7113,false", "7114,false"})
  void controllerRefusedByTheStateServiceRelaysToAPeer(long seed, boolean refuseLeader) {
    SimulatedCluster cluster = startCluster(seed);
    SimulatedCluster.ControllerNode leader = cluster.leader();
    SimulatedCluster.ControllerNode refused =
        refuseLeader ? leader : cluster.nodes.get((leader.index + 1) % 3);
    SimulatedUsers.KnownJob cancelled = cluster.users.submitArray("two", "high", 10, 60);
    cluster.run(8000);
    cluster.state.setRefused("node-" + refused.index, true);
    // Waits for a new leader first: the time without a leader is not part of this test.
    cluster.run(2 * SimulatedCluster.REPORT_INTERVAL_MS);
    cluster.users.cancelAt(cancelled, refused);
    double acceptedShare = promptlyAcceptedShare(cluster);
    assertTrue(
        acceptedShare >= 0.95, "share of submissions accepted within a second: " + acceptedShare);
    assertTrue(cancelled.aborted, "the cancellation was not confirmed");
    cluster.state.setRefused("node-" + refused.index, false);
    SeededDaysTest.settle(cluster);
  }
}
