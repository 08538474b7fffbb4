package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The state service refuses one controller, which relays users' requests to its peers, ends and is
 * back within a fraction of a second. The peers' answers to its earlier process arrive afterwards.
 */
class RelayedSubmissionsTest {
  private static final int JOBS_BEFORE_THE_END = 80;
  private static final long SUBMISSION_INTERVAL_MS = 8;
  private static final long YOUNG_PROCESS_MS = 1500;
  private static final long REFUSAL_NOTICED_MS = 1200;
  private static final long REFUSED_MS = 10_000;

  // Submissions wait at the peers for seconds, so that many answers are under way at the restart.
  private static final SimulatedCluster.Size FEW_WRITES =
      SimulatedCluster.Size.SMALL.withWriteRps(20);

  private static void submit(
      SimulatedCluster cluster, int count, List<SimulatedUsers.KnownJob> jobs) {
    for (int i = 0; i < count; i++) {
      cluster.sim.after(
          i * SUBMISSION_INTERVAL_MS,
          () -> jobs.add(cluster.users.submitArray("one", "standard", 1, 2)));
    }
  }

  /** Guards against users who get the answer to another user's submission after a restart. */
  @ParameterizedTest(name = "seed {0}, back after {1} ms")
  @CsvSource({"5902,60", "5904,60", "5906,200", "5908,200", "5910,500", "5912,500"})
  void eachUserGetsTheAnswerToItsOwnSubmission(long seed, long restartDelayMs) {
    SimulatedCluster cluster = new SimulatedCluster(seed, FEW_WRITES);
    cluster.network.lossProbability = 0;
    cluster.run(40_000);
    SimulatedCluster.ControllerNode refused = cluster.nodes.get((cluster.leader().index + 1) % 3);
    // The first process is young, too: both processes have sent few requests.
    refused.crash(restartDelayMs);
    cluster.run(YOUNG_PROCESS_MS);
    cluster.state.setRefused("node-" + refused.index, true);
    cluster.run(REFUSAL_NOTICED_MS);
    cluster.users.submissionAddress = () -> SimulatedCluster.clientAddress(refused.index);
    List<SimulatedUsers.KnownJob> jobs = new ArrayList<>();
    submit(cluster, JOBS_BEFORE_THE_END, jobs);
    cluster.run(JOBS_BEFORE_THE_END * SUBMISSION_INTERVAL_MS);
    refused.crash(restartDelayMs);
    cluster.run(restartDelayMs);
    submit(cluster, JOBS_BEFORE_THE_END, jobs);
    cluster.run(REFUSED_MS);
    double foreignAnswers = refused.metric("dapplestair_peer_answers_foreign");
    assertTrue(foreignAnswers > 0, "no answer to the earlier process arrived");
    cluster.state.setRefused("node-" + refused.index, false);
    cluster.run(90_000);
    jobs.forEach(job -> assertTrue(job.accepted, job.ref + " is not accepted"));
    SeededDaysTest.settle(cluster);
  }
}
