package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.settings.OperatorSettings;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * More work than the cluster takes, for minutes, with leaders that end: the largest jobs, the
 * lowest rank and those without a guarantee begin all the same (docs/known.md).
 */
class LargestJobsTest {
  private static final double CLUSTER_CPUS = 192;
  private static final int SMALL_STEPS = 8;
  private static final double SMALL_S = 8;

  /** A quarter of the machines that the cloud could have, and one service in each zone. */
  private static SimulatedCluster begun(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    w.network.lossProbability = 0;
    w.users.submissionsStopped = true;
    w.cloud.setCapacityShare(0.25);
    for (int i = 0; i < 4; i++) {
      w.users.submitService("two", 3);
    }
    w.run(20_000);
    return w;
  }

  /** Small arrays of rank high, so often that they alone need this much of the cluster. */
  private static void overload(SimulatedCluster w, double factor, double cpus, long forMs) {
    double each = SMALL_STEPS * cpus * SMALL_S;
    long everyMs = Math.round(1000 * each / (CLUSTER_CPUS * factor));
    for (long at = 0; at < forMs; at += everyMs) {
      String team = at / everyMs % 2 == 0 ? "one" : "two";
      w.sim.after(
          at,
          () ->
              w.users.submitModifiedArray(
                  team,
                  SMALL_STEPS,
                  SMALL_S,
                  b -> b.put("rank", "high").put("vcpus", cpus).put("jobclass", "small")));
    }
  }

  /** Runs for so long; leaders end again and again. */
  private static void runEnding(SimulatedCluster w, long ms) {
    long end = w.sim.now() + ms;
    while (w.sim.now() < end) {
      w.run(Math.min(end - w.sim.now(), 30_000 + w.sim.between(0, 20_000)));
      if (w.leader() != null) {
        w.leader().crash(w.sim.between(300, 4000));
      }
    }
  }

  private static List<SimulatedUsers.KnownJob> large(SimulatedCluster w) {
    List<SimulatedUsers.KnownJob> out = new ArrayList<>();
    for (String team : List.of("one", "guest")) {
      out.add(
          w.users.submitModifiedArray(
              team, 120, 10, b -> b.put("rank", "low").put("jobclass", "large-" + team)));
    }
    // A task as large as a machine, which small ones never leave empty.
    out.add(
        w.users.submitModifiedArray(
            "one", 6, 10, b -> b.put("rank", "low").put("vcpus", 8.0).put("jobclass", "wide")));
    // A service of no high rank, whose replicas fit nowhere without stops.
    out.add(
        w.users.submitModifiedArray(
            "two",
            4,
            0,
            b ->
                b.put("shape", "daemon")
                    .put("rank", "standard")
                    .put("apart", true)
                    .put("loaners", false)
                    .put("jobclass", "plain")));
    return out;
  }

  private static long waitMs(SimulatedCluster w, SimulatedUsers.KnownJob job) {
    return (job.begunAtMs() < 0 ? w.sim.now() : job.begunAtMs()) - job.submittedAtMs;
  }

  private static void begunInTime(SimulatedCluster w, List<SimulatedUsers.KnownJob> jobs) {
    for (SimulatedUsers.KnownJob job : jobs) {
      assertTrue(
          job.begunAtMs() >= 0 && waitMs(w, job) <= InvariantChecker.MAX_START_WAIT_MS,
          () -> job.ref + " of " + job.jobClass + " waits for " + waitMs(w, job) + " ms");
    }
  }

  @ParameterizedTest(name = "seed {0}, {1} times too much, tasks of {2} CPUs")
  @CsvSource({"6001,1.5,2", "6003,3,2", "6004,4,1"})
  void whoWaitsLongBegins(long seed, double factor, double cpus) {
    SimulatedCluster w = begun(seed);
    overload(w, factor, cpus, 280_000);
    w.run(20_000);
    List<SimulatedUsers.KnownJob> large = large(w);
    runEnding(w, 255_000);
    begunInTime(w, large);
    // No replica was lost for it.
    w.users.jobs.values().stream()
        .filter(j -> j.jobClass.equals("serve"))
        .forEach(j -> assertTrue(j.begunAtMs() >= 0, j.ref + " does not run"));
  }

  /** Its wait begins with the first attempt to submit, though it is accepted after an outage. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6021, 6022, 6023})
  void aJobThatWasTurnedAwayIsAsOldAsItsFirstAttempt(long seed) {
    SimulatedCluster w = begun(seed);
    overload(w, 3, 2, 300_000);
    w.run(20_000);
    long outageMs = 55_000;
    w.state.beginOutage();
    SimulatedUsers.KnownJob large = large(w).get(0);
    w.run(outageMs);
    w.state.endOutage();
    w.run(InvariantChecker.MAX_START_WAIT_MS - outageMs);
    begunInTime(w, List.of(large));
    // Three fifths of the bound and what it takes to begin, but no outage on top.
    long most = InvariantChecker.MAX_START_WAIT_MS * 3 / 5 + outageMs * 2 / 3;
    assertTrue(waitMs(w, large) <= most, "it waited for " + waitMs(w, large) + " ms");
  }

  /**
   * Long arrays of one class and team, of many sizes, several times more than there is room: what
   * the windows of those that have begun hold keeps nobody from beginning.
   */
  @ParameterizedTest(name = "seed {0}, arrays of {1} tasks and more")
  @CsvSource({"6021,40", "6022,80", "6023,20"})
  void everyArrayBeginsThoughWindowsAreFull(long seed, int steps) {
    SimulatedCluster w = begun(seed);
    List<SimulatedUsers.KnownJob> arrays = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      int size = steps + (int) w.sim.between(0, 4 * steps);
      w.sim.after(
          i * 4_000L,
          () ->
              arrays.add(
                  w.users.submitModifiedArray("one", size, 60, b -> b.put("jobclass", "long"))));
    }
    w.run(24 * 4_000 + InvariantChecker.MAX_START_WAIT_MS);
    begunInTime(w, arrays);
  }

  /** The guard taken out: with no bound that is near, the same work does not begin. */
  @Test
  void withoutTheBoundTheyDoNotBegin() {
    SimulatedCluster w = new SimulatedCluster(6003, SimulatedCluster.Size.MEDIUM);
    OperatorSettings d = OperatorSettings.defaults();
    w.operatorSettings = d.withBeginWithinMs(24 * 3600_000);
    w.nodes.forEach(n -> n.crash(500));
    w.network.lossProbability = 0;
    w.users.submissionsStopped = true;
    w.cloud.setCapacityShare(0.25);
    w.run(20_000);
    overload(w, 3, 2, 280_000);
    w.run(20_000);
    List<SimulatedUsers.KnownJob> large = large(w);
    w.run(255_000);
    assertFalse(
        large.stream()
            .allMatch(
                j -> j.begunAtMs() >= 0 && waitMs(w, j) <= InvariantChecker.MAX_START_WAIT_MS),
        "this test says nothing");
  }

  /** A gang as wide as a zone, of the lowest rank; what is kept for it outlives leaders. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6011, 6012})
  void aGangAsWideAsAZoneBegins(long seed) {
    SimulatedCluster w = begun(seed);
    overload(w, 2, 2, 280_000);
    w.run(20_000);
    SimulatedUsers.KnownJob gang =
        w.users.submitModifiedArray(
            "one",
            28,
            10,
            b ->
                b.put("shape", "gang")
                    .put("rank", "low")
                    .put("together", true)
                    .put("jobclass", "gang"));
    runEnding(w, 250_000);
    begunInTime(w, List.of(gang));
  }
}
