package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Jobs of one task come four a second for two minutes and a quarter of them is cancelled: at once,
 * after some seconds, or when its task ends. Launches, ends and cancellations share 30 puts a
 * second; in some plays others use so many that transactions get 429.
 */
class SingleTaskJobsTest {
  private static final double WRITE_RPS = 30;
  private static final long EVERY_MS = 250;
  private static final int JOBS = 480;
  private static final long OTHERS_EVERY_MS = 1000;
  private static final long LATE_MS = 5000;

  /** One play. */
  private static final class Swarm {
    final SimulatedCluster w;
    final List<SimulatedUsers.KnownJob> jobs = new ArrayList<>();
    final Set<String> cancelledAtOnce = new HashSet<>();
    final Set<String> cancelledAtEnd = new HashSet<>();

    Swarm(long seed) {
      w = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM.withWriteRps(WRITE_RPS));
      w.users.submissionsStopped = true;
      w.readsChecker.firstReportListener =
          (ref, state) -> {
            if (state.equals("accepted") && cancelledAtOnce.contains(ref)) {
              w.users.cancel(w.users.jobs.get(ref));
            }
          };
      w.checker.completionListener =
          task -> {
            String ref = task.substring(0, task.indexOf('/'));
            if (cancelledAtEnd.contains(ref)) {
              w.users.cancel(w.users.jobs.get(ref));
            }
          };
    }

    void submit() {
      double runS = w.sim.between(2, 20);
      SimulatedUsers.KnownJob job =
          w.users.submitModifiedArray(
              "guest",
              1,
              runS,
              b -> b.put("rank", "standard").put("vcpus", 0.25).put("jobclass", "single"));
      jobs.add(job);
      switch ((int) w.sim.between(0, 11)) {
        case 0 -> cancelledAtOnce.add(job.ref);
        case 1 -> w.sim.after(w.sim.between(1000, 20_000), () -> w.users.cancel(job));
        case 2 -> cancelledAtEnd.add(job.ref);
        default -> {}
      }
    }

    /** Puts of somebody else, all of a second at once. */
    void others(int puts, long until) {
      if (w.sim.now() < until) {
        for (int i = 0; i < puts; i++) {
          ObjectNode body = Json.object();
          body.putArray("writes").addObject().put("put", "noise").put("value", i);
          w.state.request("noise", "POST", "/commit", Json.bytes(body), r -> {});
        }
        w.sim.after(OTHERS_EVERY_MS, () -> others(puts, until));
      }
    }
  }

  @ParameterizedTest(name = "seed {0}, {1} puts a second by others, the leader ends: {2}")
  @CsvSource({"9401,0,false", "9403,0,true", "9406,14,true", "9407,25,false"})
  void allEndWithinThePuts(long seed, int others, boolean leaderEnds) {
    Swarm s = new Swarm(seed);
    SimulatedCluster w = s.w;
    w.run(15_000);
    long until = w.sim.now() + JOBS * EVERY_MS;
    s.others(others, until);
    for (int i = 0; i < JOBS; i++) {
      s.submit();
      w.run(EVERY_MS);
      if (leaderEnds && i % 160 == 80 && w.leader() != null) {
        w.leader().crash(w.sim.between(100, 3000));
      }
    }
    w.run(100_000);
    s.jobs.forEach(j -> assertTrue(!j.accepted || j.done || j.aborted, j.ref + " is not over"));
    long cancelled = s.jobs.stream().filter(j -> j.cancelRequested).count();
    assertTrue(cancelled > JOBS / 6, cancelled + " of " + JOBS + " were cancelled");
    assertEquals(List.of(), w.state.keys("live/sheet/"), "launch batches once all is over");
    assertEquals(List.of(), w.state.keys("live/run/"), "attempts once all is over");
    if (others > 0) {
      assertTrue(
          w.state.rateLimitedTransactions() > 20,
          w.state.rateLimitedTransactions() + " transactions got 429");
    }
    long late =
        s.jobs.stream()
            .filter(j -> !j.accepted || j.acceptedAtMs - j.submittedAtMs > LATE_MS)
            .count();
    assertTrue(late <= JOBS / 50, late + " of " + JOBS + " were accepted late");
  }
}
