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
 * Jobs of one task are submitted four times a second for two minutes, and a quarter of them is
 * cancelled: at once, after some seconds, or when the task ends. Launches, ends and cancellations
 * share 30 puts a second; in some runs other clients use so many puts that transactions get 429.
 */
class SingleTaskJobsTest {
  private static final double WRITE_RPS = 30;
  private static final long SUBMIT_INTERVAL_MS = 250;
  private static final int JOBS = 480;
  private static final long NOISE_INTERVAL_MS = 1000;
  private static final long MAX_ACCEPT_MS = 5000;

  /** A simulated cluster with the jobs of one run. */
  private static final class Swarm {
    final SimulatedCluster cluster;
    final List<SimulatedUsers.KnownJob> jobs = new ArrayList<>();
    final Set<String> cancelledAtOnce = new HashSet<>();
    final Set<String> cancelledAtEnd = new HashSet<>();

    Swarm(long seed) {
      cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM.withWriteRps(WRITE_RPS));
      cluster.users.submissionsStopped = true;
      cluster.readsChecker.firstReportListener =
          (ref, state) -> {
            if (state.equals("accepted") && cancelledAtOnce.contains(ref)) {
              cluster.users.cancel(cluster.users.jobs.get(ref));
            }
          };
      cluster.checker.completionListener =
          task -> {
            String ref = task.substring(0, task.indexOf('/'));
            if (cancelledAtEnd.contains(ref)) {
              cluster.users.cancel(cluster.users.jobs.get(ref));
            }
          };
    }

    void submit() {
      double runS = cluster.sim.between(2, 20);
      SimulatedUsers.KnownJob job =
          cluster.users.submitModifiedArray(
              "guest",
              1,
              runS,
              b -> b.put("rank", "standard").put("vcpus", 0.25).put("jobclass", "single"));
      jobs.add(job);
      switch ((int) cluster.sim.between(0, 11)) {
        case 0 -> cancelledAtOnce.add(job.ref);
        case 1 ->
            cluster.sim.after(cluster.sim.between(1000, 20_000), () -> cluster.users.cancel(job));
        case 2 -> cancelledAtEnd.add(job.ref);
        default -> {}
      }
    }

    /** Sends puts of another client, all of a second at once. */
    void writeNoise(int putCount, long untilMs) {
      if (cluster.sim.now() < untilMs) {
        for (int i = 0; i < putCount; i++) {
          ObjectNode body = Json.object();
          body.putArray("writes").addObject().put("put", "noise").put("value", i);
          cluster.state.request("noise", "POST", "/commit", Json.bytes(body), r -> {});
        }
        cluster.sim.after(NOISE_INTERVAL_MS, () -> writeNoise(putCount, untilMs));
      }
    }
  }

  @ParameterizedTest(name = "seed {0}, {1} puts a second by others, the leader ends: {2}")
  @CsvSource({"9401,0,false", "9403,0,true", "9406,14,true", "9407,25,false"})
  void allJobsEndWithinTheWriteRate(long seed, int noisePuts, boolean leaderCrashes) {
    Swarm swarm = new Swarm(seed);
    SimulatedCluster cluster = swarm.cluster;
    cluster.run(15_000);
    long untilMs = cluster.sim.now() + JOBS * SUBMIT_INTERVAL_MS;
    swarm.writeNoise(noisePuts, untilMs);
    for (int i = 0; i < JOBS; i++) {
      swarm.submit();
      cluster.run(SUBMIT_INTERVAL_MS);
      if (leaderCrashes && i % 160 == 80 && cluster.leader() != null) {
        cluster.leader().crash(cluster.sim.between(100, 3000));
      }
    }
    cluster.run(100_000);
    swarm.jobs.forEach(
        j -> assertTrue(!j.accepted || j.done || j.aborted, j.ref + " has not ended"));
    long cancelled = swarm.jobs.stream().filter(j -> j.cancelRequested).count();
    assertTrue(cancelled > JOBS / 6, cancelled + " of " + JOBS + " were cancelled");
    assertEquals(
        List.of(), cluster.state.keys("live/sheet/"), "launch batches left after all jobs ended");
    assertEquals(List.of(), cluster.state.keys("live/run/"), "attempts left after all jobs ended");
    if (noisePuts > 0) {
      assertTrue(
          cluster.state.rateLimitedTransactions() > 20,
          cluster.state.rateLimitedTransactions() + " transactions got 429");
    }
    long acceptedLate =
        swarm.jobs.stream()
            .filter(j -> !j.accepted || j.acceptedAtMs - j.submittedAtMs > MAX_ACCEPT_MS)
            .count();
    assertTrue(acceptedLate <= JOBS / 50, acceptedLate + " of " + JOBS + " were accepted late");
  }
}
