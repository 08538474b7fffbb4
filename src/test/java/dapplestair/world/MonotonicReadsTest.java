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
 * Guards against responses that are older than what a user was told before. Right after a job was
 * accepted, has ended or was confirmed as cancelled, users read it at all controllers within
 * milliseconds, submit it again and cancel it, while the controllers that are asked are not up to
 * date. {@link MonotonicReadsChecker} checks the responses.
 */
class MonotonicReadsTest {
  private static final int JOBS = 9;
  private static final int CHANGES_TO_OVERFLOW_HISTORY = 900;

  /** Why the other controllers lag behind at the moment of an acceptance or an end. */
  enum LagCause {
    /** Only message delays. */
    NOTHING,
    /** The controllers have just restarted. */
    RESTARTED,
    /**
     * The controllers were frozen until their change streams were lost, and list all keys again.
     */
    STREAM_LOST,
    /** Responses of the state service to the controllers are delayed. */
    HELD_UP,
    /** The leader is deposed and drops all its state. */
    DEPOSED
  }

  /** A simulated cluster with scripted jobs. */
  private static final class Scenario {
    final SimulatedCluster cluster;
    final ConcurrentReaders readers;
    final LagCause lagCause;
    final long delayMs;
    final Map<String, SimulatedUsers.KnownJob> jobs = new HashMap<>();
    final Map<String, Integer> heardCounts = new HashMap<>();

    Scenario(long seed, LagCause lagCause, long delayMs) {
      cluster = new SimulatedCluster(seed);
      readers = new ConcurrentReaders(cluster);
      this.lagCause = lagCause;
      this.delayMs = delayMs;
      cluster.readsChecker.firstReportListener = this::onFirstHeard;
      cluster.network.commits.commitListener = this::onCommitted;
    }

    /**
     * Submits a job. Depending on the cause, other controllers lag before the transaction or begin
     * to lag right after it.
     */
    void submit(int index) {
      SimulatedCluster.ControllerNode other = cluster.nodes.get(index % cluster.nodes.size());
      if (lagCause == LagCause.RESTARTED) {
        other.crash(500);
      } else if (lagCause == LagCause.STREAM_LOST) {
        other.freeze(500);
        overflowChangeHistory();
      }
      long submitDelayMs =
          lagCause == LagCause.RESTARTED || lagCause == LagCause.STREAM_LOST ? 500 + delayMs : 0;
      cluster.sim.after(
          submitDelayMs,
          () -> {
            SimulatedUsers.KnownJob job =
                cluster.users.submitArray(index % 2 == 0 ? "one" : "two", "high", 1 + index % 2, 3);
            jobs.put(job.ref, job);
          });
    }

    /** Commits more changes than the state service retains, to a key that no controller uses. */
    private void overflowChangeHistory() {
      for (int i = 0; i < CHANGES_TO_OVERFLOW_HISTORY; i++) {
        ObjectNode body = Json.object();
        body.putArray("writes").addObject().put("put", "noise").put("value", i);
        cluster.state.request("noise", "POST", "/commit", Json.bytes(body), r -> {});
      }
    }

    private void onCommitted(String from, JsonNode body) {
      SimulatedUsers.KnownJob job = jobs.get(String.valueOf(CommitInterceptor.jobRef(body)));
      if (job == null) {
        return;
      }
      if (lagCause == LagCause.HELD_UP) {
        cluster.nodes.stream()
            .map(n -> "node-" + n.index)
            .filter(n -> !n.equals(from))
            .forEach(this::holdUpdates);
      } else if (lagCause == LagCause.DEPOSED) {
        cluster.sim.after(delayMs, this::deposeLeader);
      }
      if (job.accepted) {
        // No user knows yet that the job has ended; the first response that says so makes older
        // responses of the other controllers wrong.
        readers.queryAllControllers(job);
      }
    }

    private void holdUpdates(String node) {
      cluster.network.cut(node, "state:1", true);
      cluster.sim.after(delayMs, () -> cluster.network.heal(node, "state:1"));
    }

    private void deposeLeader() {
      ObjectNode body = Json.object();
      body.putArray("writes").addObject().put("remove", "live/leader");
      cluster.state.request("noise", "POST", "/commit", Json.bytes(body), r -> {});
    }

    private void onFirstHeard(String ref, String state) {
      SimulatedUsers.KnownJob job = jobs.get(ref);
      // The job is not one of the scripted jobs.
      if (job == null) {
        return;
      }
      heardCounts.merge(state, 1, Integer::sum);
      readers.queryAllControllers(job);
      boolean cancelled = ref.hashCode() % 2 == 0;
      if (cancelled || !state.equals("accepted")) {
        // Cancels at once at two controllers; for a job that is done the response must say so.
        cluster.users.cancelAt(job, cluster.nodes.get(0));
        cluster.sim.after(delayMs, () -> cluster.users.cancelAt(job, cluster.nodes.get(1)));
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
  void readsNeverGoBackwards(long seed, LagCause lagCause, long delayMs) {
    Scenario scenario = new Scenario(seed, lagCause, delayMs);
    scenario.cluster.run(25_000);
    for (int i = 0; i < JOBS; i++) {
      scenario.submit(i);
      scenario.cluster.run(5000);
    }
    scenario.cluster.run(20_000);
    scenario.cluster.users.submissionsStopped = true;
    SeededDaysTest.settle(scenario.cluster);
    assertTrue(
        scenario.heardCounts.getOrDefault("accepted", 0) >= JOBS - 1,
        scenario.heardCounts.toString());
    assertTrue(scenario.heardCounts.getOrDefault("done", 0) > 1, scenario.heardCounts.toString());
    assertTrue(
        scenario.heardCounts.getOrDefault("aborted", 0) > 1, scenario.heardCounts.toString());
    assertTrue(
        scenario.readers.statusAnswers > 20 * JOBS,
        scenario.readers.statusAnswers + " reads got a response");
  }
}
