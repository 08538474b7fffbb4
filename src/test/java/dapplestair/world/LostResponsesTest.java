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
 * A transaction is carried out at once and only its answer is lost, while users ask at all
 * controllers about what it wrote; the one that sent it goes on, or ends before or just after it
 * would have missed the answer.
 */
class LostResponsesTest {
  private static final double SHARE = 0.6;
  private static final long FOR_MS = 45_000;
  private static final long DEPOSE_EVERY_MS = 6000;

  // The sender starts again at most this often, or nothing would ever be done.
  private static final long CRASH_EVERY_MS = 9000;

  // Some answers that are waited for in vain, a change of leader, and the lane's own time.
  private static final long CLAIM_MS = 20_000;

  /** The kinds of transactions of docs/meetings.md. */
  enum Put {
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

    Put(Predicate<JsonNode> writes) {
      this.writes = writes;
    }
  }

  /** What becomes of the sender. */
  enum Sender {
    GOES_ON(-1),
    /** It does not hear from its stream of changes either what it has written. */
    HEARS_NO_NEWS(-1),
    ENDS_AT_ONCE(0),
    /** Just after it has given the answer up. */
    ENDS_LATER(1510);

    final long crashAfterMs;

    Sender(long crashAfterMs) {
      this.crashAfterMs = crashAfterMs;
    }
  }

  private static final long NO_NEWS_MS = 5000;

  static void loseAnswers(SimulatedCluster w, Predicate<JsonNode> writes, Sender sender) {
    ConcurrentReaders readers = new ConcurrentReaders(w);
    long[] crashAgainAt = {0};
    w.network.commits.isLossCandidate = writes;
    w.network.commits.answerLossProbability = SHARE;
    w.network.commits.answerLostListener =
        (from, body) -> {
          SimulatedUsers.KnownJob job =
              w.users.jobs.get(String.valueOf(CommitInterceptor.jobRef(body)));
          if (job != null) {
            lookAt(w, readers, job);
          }
          if (sender == Sender.HEARS_NO_NEWS) {
            w.network.commits.blockChanges(from, NO_NEWS_MS);
          }
          if (sender.crashAfterMs >= 0 && w.sim.now() >= crashAgainAt[0]) {
            crashAgainAt[0] = w.sim.now() + CRASH_EVERY_MS;
            SimulatedCluster.ControllerNode node = w.nodes.get(w.memberIndex(from));
            w.sim.after(sender.crashAfterMs, () -> node.crash(w.sim.between(60, 2000)));
          }
        };
  }

  /** A job that nobody was told of yet may be asked for by whoever submitted it. */
  private static void lookAt(
      SimulatedCluster w, ConcurrentReaders readers, SimulatedUsers.KnownJob job) {
    readers.queryAllControllers(job);
    if (w.sim.chance(0.3)) {
      w.nodes.forEach(n -> w.sim.after(w.sim.between(0, 30), () -> w.users.cancelAt(job, n)));
    }
  }

  private static void depose(SimulatedCluster w, long everyMs, long until) {
    if (w.sim.now() < until) {
      LeaderChange.removeLeaderKey(w);
      w.sim.after(everyMs, () -> depose(w, everyMs, until));
    }
  }

  /** Single tasks that share puts, besides the random jobs. */
  private static void singles(SimulatedCluster w, long until) {
    if (w.sim.now() < until) {
      for (int i = 0; i < 3; i++) {
        w.users.submitModifiedArray("guest", 1, 3, b -> b.put("rank", "low").put("vcpus", 0.25));
      }
      w.sim.after(2000, () -> singles(w, until));
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
  void onlyTheAnswerIsLost(long seed, Put put, Sender sender) {
    SimulatedCluster w = new SimulatedCluster(seed);
    w.users.cancelledArrayShare = 0.4;
    // Types are recorded and machines rented at the beginning.
    w.run(put == Put.RENTAL || put == Put.PLAN_OR_TYPES ? 0 : 15_000);
    long until = w.sim.now() + FOR_MS;
    loseAnswers(w, put.writes, sender);
    singles(w, until);
    if (put == Put.LEADER || put == Put.ALL) {
      depose(w, DEPOSE_EVERY_MS, until);
    }
    if (put == Put.RENTAL_ENDED) {
      // Their records go with the last of their machines.
      w.sim.after(FOR_MS / 4, () -> w.cloud.machines().forEach(EmulatedWorker::powerOff));
    }
    w.run(FOR_MS);
    w.network.commits.answerLossProbability = 0;
    SeededDaysTest.settle(w);
    assertTrue(w.network.commits.lostAnswerCount > 0, "no answer was lost");
    assertEquals(List.of(), w.state.keys("live/sheet/"), "launch batches once all is over");
  }

  /** Nobody is stopped for a claim that may not be on record, and no rider waits for ever. */
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
    SimulatedCluster w = LaneTest.startWithFullMachines(seed, LaneTest.GATE, 0);
    loseAnswers(w, CommitInterceptor.puts("live/lane/"), sender);
    List<SimulatedUsers.KnownJob> riders = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      riders.add(LaneTest.submitRider(w, 6));
      w.run(3000);
    }
    LaneTest.runUntilBegun(w, riders, CLAIM_MS);
    assertTrue(w.network.commits.lostAnswerCount > 0, "no answer was lost");
  }
}
