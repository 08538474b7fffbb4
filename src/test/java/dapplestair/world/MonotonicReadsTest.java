package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Users ask at all controllers within milliseconds, submit again and cancel at once, right after a
 * job was accepted, has ended or was confirmed as cancelled, while the controllers that are asked
 * are not up to date. That nobody is told anything older is checked by {@link
 * MonotonicReadsChecker}.
 */
class MonotonicReadsTest {
  private static final int JOBS = 9;
  private static final int CHANGES_TO_FORGET = 900;

  /** What keeps the other controllers from knowing, at the moment of an acceptance or an end. */
  enum Behind {
    /** Only the time that messages take. */
    NOTHING,
    /** They have just started again. */
    RESTARTED,
    /** They stood still until their stream of changes was lost, and list all keys again. */
    STREAM_LOST,
    /** What the state service sends them is held up. */
    HELD_UP,
    /** The leader is deposed and forgets all that it knew. */
    DEPOSED
  }

  /** One day with its scripted jobs. */
  private static final class Day {
    final SimulatedCluster w;
    final ConcurrentReaders readers;
    final Behind behind;
    final long moveMs;
    final Map<String, SimulatedUsers.KnownJob> jobs = new HashMap<>();
    final Map<String, Integer> moments = new HashMap<>();

    Day(long seed, Behind behind, long moveMs) {
      w = new SimulatedCluster(seed);
      readers = new ConcurrentReaders(w);
      this.behind = behind;
      this.moveMs = moveMs;
      w.readsChecker.firstReportListener = this::firstHeard;
      w.network.commits.commitListener = this::carriedOut;
    }

    /** Others are behind before the transaction, or fall behind right after it. */
    void submit(int i) {
      SimulatedCluster.ControllerNode other = w.nodes.get(i % w.nodes.size());
      if (behind == Behind.RESTARTED) {
        other.crash(500);
      } else if (behind == Behind.STREAM_LOST) {
        other.freeze(500);
        forgetChanges();
      }
      long ms = behind == Behind.RESTARTED || behind == Behind.STREAM_LOST ? 500 + moveMs : 0;
      w.sim.after(
          ms,
          () -> {
            SimulatedUsers.KnownJob job =
                w.users.submitArray(i % 2 == 0 ? "one" : "two", "high", 1 + i % 2, 3);
            jobs.put(job.ref, job);
          });
    }

    /** So many changes of keys that no controller cares for. */
    private void forgetChanges() {
      for (int i = 0; i < CHANGES_TO_FORGET; i++) {
        ObjectNode body = Json.object();
        body.putArray("writes").addObject().put("put", "noise").put("value", i);
        w.state.request("noise", "POST", "/commit", Json.bytes(body), r -> {});
      }
    }

    private void carriedOut(String from, JsonNode body) {
      SimulatedUsers.KnownJob job = jobs.get(String.valueOf(CommitInterceptor.jobRef(body)));
      if (job == null) {
        return;
      }
      if (behind == Behind.HELD_UP) {
        w.nodes.stream()
            .map(n -> "node-" + n.index)
            .filter(n -> !n.equals(from))
            .forEach(this::hold);
      } else if (behind == Behind.DEPOSED) {
        w.sim.after(moveMs, this::depose);
      }
      if (job.accepted) {
        // Nobody has been told yet that it is over; whoever is told first makes the others late.
        readers.queryAllControllers(job);
      }
    }

    private void hold(String node) {
      w.network.cut(node, "state:1", true);
      w.sim.after(moveMs, () -> w.network.heal(node, "state:1"));
    }

    private void depose() {
      ObjectNode body = Json.object();
      body.putArray("writes").addObject().put("remove", "live/leader");
      w.state.request("noise", "POST", "/commit", Json.bytes(body), r -> {});
    }

    private void firstHeard(String ref, String state) {
      SimulatedUsers.KnownJob job = jobs.get(ref);
      // Jobs that are none of the script.
      if (job == null) {
        return;
      }
      moments.merge(state, 1, Integer::sum);
      readers.queryAllControllers(job);
      boolean cancelled = ref.hashCode() % 2 == 0;
      if (cancelled || !state.equals("accepted")) {
        // At once, at two controllers; one that is done must be answered done.
        w.users.cancelAt(job, w.nodes.get(0));
        w.sim.after(moveMs, () -> w.users.cancelAt(job, w.nodes.get(1)));
      }
    }
  }

  @ParameterizedTest(name = "seed {0}, others behind: {1}, moved by {2} ms")
  @CsvSource({
    "9101,NOTHING,0",
    "9102,NOTHING,20",
    "9103,RESTARTED,0",
    "9104,RESTARTED,15",
    "9105,RESTARTED,60",
    "9106,STREAM_LOST,0",
    "9107,STREAM_LOST,15",
    "9108,STREAM_LOST,60",
    "9109,HELD_UP,100",
    "9110,HELD_UP,1200",
    "9111,HELD_UP,1700",
    "9112,DEPOSED,0",
    "9113,DEPOSED,3",
    "9114,DEPOSED,400"
  })
  void nobodyIsToldAnythingOlder(long seed, Behind behind, long moveMs) {
    Day d = new Day(seed, behind, moveMs);
    d.w.run(25_000);
    for (int i = 0; i < JOBS; i++) {
      d.submit(i);
      d.w.run(5000);
    }
    d.w.run(20_000);
    d.w.users.submissionsStopped = true;
    SeededDaysTest.settle(d.w);
    assertTrue(d.moments.getOrDefault("accepted", 0) >= JOBS - 1, d.moments.toString());
    assertTrue(d.moments.getOrDefault("done", 0) > 1, d.moments.toString());
    assertTrue(d.moments.getOrDefault("aborted", 0) > 1, d.moments.toString());
    assertTrue(
        d.readers.statusAnswers > 20 * JOBS, d.readers.statusAnswers + " looks were answered");
  }
}
