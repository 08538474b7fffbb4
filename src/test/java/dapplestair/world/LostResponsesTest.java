package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.emulator.EmulatedWorker;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against wrong conclusions from a lost response: a transaction is carried out at once and
 * only its response is lost, while users ask all controllers about what it wrote. The sender goes
 * on, or crashes before or just after its timeout for the response.
 */
class LostResponsesTest {
  private static final double LOST_RESPONSE_SHARE = 0.6;
  private static final long FAULTS_MS = 45_000;
  private static final long DEPOSE_INTERVAL_MS = 6000;

  // The sender crashes at most this often; with more crashes no work would ever be done.
  private static final long MIN_CRASH_INTERVAL_MS = 9000;

  // Allows for some response timeouts, a change of leader, and the time that the lane itself takes.
  private static final long MAX_CLAIM_MS = 20_000;

  /** The kinds of transactions listed in docs/meetings.md. */
  enum TransactionKind {
    ACCEPTANCE(CommitInterceptor.puts(CommitInterceptor.JOB_KEY_PREFIX)),
    CANCELLATION(CommitInterceptor.endsJobAs("aborted")),
    DONE(CommitInterceptor.endsJobAs("done")),
    ATTEMPTS(CommitInterceptor.puts("live/run/")),
    LAUNCH_BATCH(CommitInterceptor.puts("live/sheet/")),
    CLEARING(CommitInterceptor.removes("live/run/").or(CommitInterceptor.removes("live/sheet/"))),
    RENTAL(CommitInterceptor.puts("live/rental/")),
    RENTAL_ENDED(CommitInterceptor.removes("live/rental/")),
    LEADER(CommitInterceptor.puts("live/leader")),
    PLAN_OR_TYPES(CommitInterceptor.puts("live/plan").or(CommitInterceptor.puts("live/types"))),
    ALL(write -> true);

    final Predicate<JsonNode> writes;

    TransactionKind(Predicate<JsonNode> writes) {
      this.writes = writes;
    }
  }

  /** What happens to the sender of the transaction. */
  enum Sender {
    GOES_ON(-1),
    /** The change stream of the sender does not deliver what it wrote, either. */
    HEARS_NO_NEWS(-1),
    ENDS_AT_ONCE(0),
    /** It crashes just after its timeout for the response. */
    ENDS_LATER(1510);

    final long crashAfterMs;

    Sender(long crashAfterMs) {
      this.crashAfterMs = crashAfterMs;
    }
  }

  private static final long NO_NEWS_MS = 5000;

  static void loseResponses(SimulatedCluster cluster, Predicate<JsonNode> writes, Sender sender) {
    ConcurrentReaders readers = new ConcurrentReaders(cluster);
    long[] nextCrashAtMs = {0};
    cluster.network.commits.isLossCandidate = writes;
    cluster.network.commits.answerLossProbability = LOST_RESPONSE_SHARE;
    cluster.network.commits.answerLostListener =
        (from, body) -> {
          SimulatedUsers.KnownJob job =
              cluster.users.jobs.get(String.valueOf(CommitInterceptor.jobRef(body)));
          if (job != null) {
            queryAndMaybeCancel(cluster, readers, job);
          }
          if (sender == Sender.HEARS_NO_NEWS) {
            cluster.network.commits.blockChanges(from, NO_NEWS_MS);
          }
          if (sender.crashAfterMs >= 0 && cluster.sim.now() >= nextCrashAtMs[0]) {
            nextCrashAtMs[0] = cluster.sim.now() + MIN_CRASH_INTERVAL_MS;
            SimulatedCluster.ControllerNode node = cluster.nodes.get(cluster.memberIndex(from));
            cluster.sim.after(sender.crashAfterMs, () -> node.crash(cluster.sim.between(60, 2000)));
          }
        };
  }

  /**
   * Reads the job at all controllers and sometimes cancels it. Whoever submitted the job may do so
   * before its acceptance has been confirmed to anybody.
   */
  private static void queryAndMaybeCancel(
      SimulatedCluster cluster, ConcurrentReaders readers, SimulatedUsers.KnownJob job) {
    readers.queryAllControllers(job);
    if (cluster.sim.chance(0.3)) {
      cluster.nodes.forEach(
          n -> cluster.sim.after(cluster.sim.between(0, 30), () -> cluster.users.cancelAt(job, n)));
    }
  }

  private static void deposeRepeatedly(SimulatedCluster cluster, long intervalMs, long untilMs) {
    if (cluster.sim.now() < untilMs) {
      LeaderChange.removeLeaderKey(cluster);
      cluster.sim.after(intervalMs, () -> deposeRepeatedly(cluster, intervalMs, untilMs));
    }
  }

  /** Submits jobs of a single task, which share puts, in addition to the random jobs. */
  private static void submitSingleTaskJobs(SimulatedCluster cluster, long untilMs) {
    if (cluster.sim.now() < untilMs) {
      for (int i = 0; i < 3; i++) {
        cluster.users.submitModifiedArray(
            "guest", 1, 3, b -> b.put("rank", "low").put("vcpus", 0.25));
      }
      cluster.sim.after(2000, () -> submitSingleTaskJobs(cluster, untilMs));
    }
  }

  @ParameterizedTest(name = "seed {0}, {1}, its sender: {2}")
  @CsvSource({
    "9201,ACCEPTANCE,HEARS_NO_NEWS",
    "9202,ACCEPTANCE,ENDS_AT_ONCE",
    "9203,ACCEPTANCE,ENDS_LATER",
    "9204,CANCELLATION,HEARS_NO_NEWS",
    "9205,CANCELLATION,ENDS_AT_ONCE",
    "9206,CANCELLATION,ENDS_LATER",
    "9207,DONE,HEARS_NO_NEWS",
    "9208,DONE,ENDS_AT_ONCE",
    "9209,DONE,ENDS_LATER",
    "9210,ATTEMPTS,HEARS_NO_NEWS",
    "9211,ATTEMPTS,ENDS_AT_ONCE",
    "9212,ATTEMPTS,ENDS_LATER",
    "9214,LAUNCH_BATCH,HEARS_NO_NEWS",
    "9215,LAUNCH_BATCH,ENDS_AT_ONCE",
    "9217,LAUNCH_BATCH,ENDS_LATER",
    "9218,CLEARING,ENDS_AT_ONCE",
    "9219,RENTAL,GOES_ON",
    "9220,RENTAL,ENDS_AT_ONCE",
    "9222,RENTAL_ENDED,GOES_ON",
    "9223,LEADER,GOES_ON",
    "9224,LEADER,ENDS_AT_ONCE",
    "9225,LEADER,ENDS_LATER",
    "9226,PLAN_OR_TYPES,ENDS_AT_ONCE",
    "9229,ALL,GOES_ON",
    "9230,ALL,ENDS_AT_ONCE",
    "9231,ALL,ENDS_LATER"
  })
  void transactionsWithLostResponses(long seed, TransactionKind kind, Sender sender) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.users.cancelledArrayShare = 0.4;
    // Machine types are recorded and machines rented at the start of the cluster.
    cluster.run(
        kind == TransactionKind.RENTAL || kind == TransactionKind.PLAN_OR_TYPES ? 0 : 15_000);
    long untilMs = cluster.sim.now() + FAULTS_MS;
    loseResponses(cluster, kind.writes, sender);
    submitSingleTaskJobs(cluster, untilMs);
    if (kind == TransactionKind.LEADER || kind == TransactionKind.ALL) {
      deposeRepeatedly(cluster, DEPOSE_INTERVAL_MS, untilMs);
    }
    if (kind == TransactionKind.RENTAL_ENDED) {
      // A rental record is removed with the last of its machines.
      cluster.sim.after(
          FAULTS_MS / 4, () -> cluster.cloud.machines().forEach(EmulatedWorker::powerOff));
    }
    cluster.run(FAULTS_MS);
    cluster.network.commits.answerLossProbability = 0;
    SeededDaysTest.settle(cluster);
    assertTrue(cluster.network.commits.lostAnswerCount > 0, "no response was lost");
    assertEquals(
        List.of(), cluster.state.keys("live/sheet/"), "launch batches left after all jobs ended");
  }

  /** No task is stopped for a claim that may not be recorded, and no rider waits forever. */
  @ParameterizedTest(name = "seed {0}, the leader: {1}")
  @CsvSource({
    "9241,HEARS_NO_NEWS",
    "9242,ENDS_AT_ONCE",
    "9243,ENDS_LATER",
    "9246,HEARS_NO_NEWS",
    "9259,HEARS_NO_NEWS",
    "9261,HEARS_NO_NEWS",
    "9262,HEARS_NO_NEWS",
    "9269,HEARS_NO_NEWS",
    "9270,HEARS_NO_NEWS"
  })
  void claimsOfALane(long seed, Sender sender) {
    SimulatedCluster cluster = LaneTest.startWithFullMachines(seed, LaneTest.GATE, 0);
    loseResponses(cluster, CommitInterceptor.puts("live/lane/"), sender);
    List<SimulatedUsers.KnownJob> riders = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      riders.add(LaneTest.submitRider(cluster, 6));
      cluster.run(3000);
    }
    LaneTest.runUntilBegun(cluster, riders, MAX_CLAIM_MS);
    assertTrue(cluster.network.commits.lostAnswerCount > 0, "no response was lost");
  }
}
