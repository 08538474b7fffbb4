package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * More work than room, urgent and not, over slow links, while leaders end: the urgent begins soon,
 * the rest within its bound, nothing runs twice or beyond a limit.
 */
class OverloadTest {
  private static final long OVERLOAD_MS = 90_000;

  /** Two teams at their limits leave a little of the cluster's 192 CPUs to guests. */
  private static final SimulatedCluster.Size LIMITED = new SimulatedCluster.Size(16, 45, 2150, 12);

  /** Within what urgent work begins: a boot, a stop with its saving, and slow messages. */
  private static final long URGENT_MS = 40_000;

  private final List<SimulatedUsers.KnownJob> urgent = new ArrayList<>();

  private void submit(SimulatedCluster w, int number) {
    String team = number % 2 == 0 ? "one" : "two";
    switch (number % 4) {
      case 0 -> w.users.submitArray(team, "low", 16, 6);
      case 1 ->
          w.users.submitModifiedArray(
              team,
              8,
              9,
              b -> b.put("rank", "standard").put("snapshotEveryS", 3.0).put("snapshotS", 1.0));
      case 2 -> urgent.add(w.users.submitArray(team, "critical", 2, 5));
      default ->
          w.users.submitModifiedArray(
              "guest", 12, 6, b -> b.put("rank", "low").put("jobclass", "guest"));
    }
  }

  /** Twice as much as there is room for; links are slow, the leader ends {@code endsMs} later. */
  @ParameterizedTest(name = "seed {0}, links up to {1} ms slower, leader ends after {2} ms")
  @CsvSource({
    "9501,0,-1",
    "9503,300,30",
    "9504,700,400",
    "9506,300,3000",
    "9507,700,17000",
    "9508,1200,9000"
  })
  void urgentAndNotBeyondTheRoom(long seed, long slowMs, long endsMs) {
    SimulatedCluster w = new SimulatedCluster(seed, LIMITED);
    w.network.lossProbability = 0;
    w.users.submissionsStopped = true;
    w.cloud.setCapacityShare(0.25);
    w.users.submitService("one", 3);
    w.users.submitService("two", 3);
    w.run(20_000);
    w.network.maxExtraDelayMs = slowMs;
    w.network.isSlowLink = (a, b) -> !a.startsWith("state") && !b.startsWith("state");
    int number = 0;
    for (long at = 0; at < OVERLOAD_MS; at += 600) {
      submit(w, number++);
      w.run(600);
      if (endsMs >= 0 && number % 50 == 25) {
        w.sim.after(endsMs, () -> endLeader(w));
        cancelSome(w);
      }
    }
    w.network.maxExtraDelayMs = 0;
    SeededDaysTest.settle(w);
    for (SimulatedUsers.KnownJob job : urgent) {
      assertTrue(
          !job.accepted || job.cancelRequested || waitedMs(job) <= URGENT_MS,
          () -> job.ref + " waited for " + waitedMs(job) + " ms");
    }
  }

  private static long waitedMs(SimulatedUsers.KnownJob job) {
    return job.begunAtMs() - job.submittedAtMs;
  }

  private static void endLeader(SimulatedCluster w) {
    if (w.leader() != null) {
      w.leader().crash(w.sim.between(300, 4000));
    }
  }

  private static void cancelSome(SimulatedCluster w) {
    for (SimulatedUsers.KnownJob job : List.copyOf(w.users.jobs.values())) {
      if (job.accepted && !job.done && !job.cancelRequested && w.sim.chance(0.2)) {
        w.users.cancel(job);
      }
    }
  }
}
