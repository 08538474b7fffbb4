package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import dapplestair.json.Json;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests draining machines and zones while leaders end and operators give contradictory orders. */
class DrainTest {
  static long countRunningTasks(SimulatedCluster cluster, SimulatedUsers.KnownJob job) {
    return cluster.cloud.machines().stream()
        .filter(m -> !m.isGone())
        .flatMap(m -> m.tasks().stream())
        .filter(t -> t.isOnMachine() && t.key().startsWith(job.ref + "/"))
        .count();
  }

  /** A zone is drained: each service lacks at most the one replica that is being moved. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {11, 12, 13})
  void drainingAZoneStopsAtMostOneReplicaPerService(long seed) {
    SimulatedCluster cluster = OperatorsTest.startQuietCluster(seed, OperatorsTest.ROOMY);
    List<SimulatedUsers.KnownJob> services =
        List.of(
            cluster.users.submitService("one", 4),
            cluster.users.submitService("two", 6),
            cluster.users.submitService("one", 3));
    cluster.run(60_000);
    services.forEach(
        s ->
            assertEquals(
                s.taskCount,
                countRunningTasks(cluster, s),
                s.ref + " running replicas before the drain"));
    long[] minSurplus = {Long.MAX_VALUE};
    cluster.extraCheck =
        () -> {
          for (SimulatedUsers.KnownJob s : services) {
            minSurplus[0] = Math.min(minSurplus[0], countRunningTasks(cluster, s) - s.taskCount);
          }
        };
    OperatorsTest.submitOrder(cluster, "/v1/zones/a/drain", Json.object().put("why", "power"));
    cluster.run(120_000);
    assertTrue(minSurplus[0] >= -1, "a service lacked up to " + -minSurplus[0] + " replicas");
    services.forEach(
        s ->
            assertEquals(
                s.taskCount,
                countRunningTasks(cluster, s),
                s.ref + " running replicas after the drain"));
    assertEquals(0, DisruptionTest.countTasksInZone(cluster, "a"), "tasks left in the zone");
  }

  /**
   * With two of three zones drained, the spread rule leaves no place for all replicas, so the
   * remaining ones stay.
   */
  @Test
  void replicasThatFitNowhereElseStay() {
    SimulatedCluster cluster = OperatorsTest.startQuietCluster(21, OperatorsTest.ROOMY);
    SimulatedUsers.KnownJob service = cluster.users.submitService("one", 4);
    cluster.run(60_000);
    OperatorsTest.submitOrder(cluster, "/v1/zones/a/drain", Json.object().put("deadline_s", 5));
    OperatorsTest.submitOrder(cluster, "/v1/zones/b/drain", Json.object().put("deadline_s", 5));
    cluster.run(90_000);
    assertEquals(4, countRunningTasks(cluster, service));
    assertTrue(DisruptionTest.countTasksInZone(cluster, "c") <= 2, "the spread rule is violated");
  }

  /** The leader ends repeatedly during a drain, and the next leader continues it. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {31, 32, 33, 34})
  void aDrainContinuesAcrossLeaderChanges(long seed) {
    SimulatedCluster cluster = OperatorsTest.newCluster(seed, SimulatedCluster.Size.SMALL);
    cluster.run(30_000);
    OperatorsTest.submitOrder(
        cluster, "/v1/zones/b/drain", Json.object().put("why", "cooling").put("deadline_s", 20));
    for (int i = 0; i < 4; i++) {
      if (cluster.leader() != null) {
        cluster.leader().crash(cluster.sim.between(1000, 6000));
      }
      cluster.run(cluster.sim.between(3000, 9000));
    }
    cluster.users.submissionsStopped = true;
    cluster.run(90_000);
    JsonNode drains = OperatorsTest.awaitResponse(cluster, "/v1/drains");
    assertEquals("cooling", drains.path("rows").path(0).path("why").asText());
    long arrayTasksInZone =
        cluster.cloud.machines().stream()
            .filter(m -> !m.isGone() && m.zone().equals("b"))
            .flatMap(m -> m.tasks().stream())
            .filter(t -> t.isOnMachine() && !cluster.users.jobs.get(jobRef(t)).service)
            .count();
    assertEquals(0, arrayTasksInZone, "array tasks left in the zone");
    OperatorsTest.submitOrder(cluster, "/v1/zones/b/undrain", null);
    SeededDaysTest.settle(cluster);
  }

  private static String jobRef(EmulatedTask t) {
    return t.key().substring(0, t.key().indexOf('/'));
  }

  /**
   * A drained machine gets no new tasks, is returned only on request, and its drain record is
   * removed then.
   */
  @Test
  void aDrainedMachineGetsNoTasksAndIsReturnedOnRequest() {
    SimulatedCluster cluster = OperatorsTest.startQuietCluster(41, OperatorsTest.ROOMY);
    cluster.users.submitArray("one", "standard", 24, 4);
    cluster.run(25_000);
    EmulatedWorker drained =
        cluster.cloud.machines().stream()
            .filter(x -> x.hasBooted() && !x.isGone())
            .findFirst()
            .orElseThrow();
    OperatorsTest.submitOrder(cluster, "/v1/machines/" + drained.id() + "/drain", Json.object());
    cluster.run(10_000);
    long[] tasksSeen = {0};
    cluster.extraCheck =
        () -> tasksSeen[0] += drained.tasks().stream().filter(EmulatedTask::isOnMachine).count();
    for (int i = 0; i < 6; i++) {
      cluster.users.submitArray("one", "standard", 24, 4);
      cluster.run(20_000);
    }
    assertEquals(0, tasksSeen[0], "tasks seen on a drained machine");
    assertTrue(!drained.isGone(), "a drained machine was returned");
    OperatorsTest.submitOrder(
        cluster, "/v1/machines/" + drained.id() + "/drain", Json.object().put("return", true));
    cluster.run(90_000);
    assertTrue(drained.isGone(), "a machine drained with return is still rented");
    assertTrue(
        cluster.state.keys("live/drain/").isEmpty(),
        "the drain record of a returned machine is left");
  }

  /**
   * Two operators who drain and undrain the same machine both get answers, and the last order
   * holds.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {51, 52, 53})
  void concurrentDrainAndUndrainAreAnswered(long seed) {
    SimulatedCluster cluster = OperatorsTest.newCluster(seed, SimulatedCluster.Size.SMALL);
    cluster.run(30_000);
    String id = cluster.cloud.machines().iterator().next().id();
    int[] replyCounts = new int[2];
    for (int i = 0; i < 40; i++) {
      String verb = i % 2 == 0 ? "drain" : "undrain";
      OperatorsTest.sendRequest(
          cluster,
          i % 3,
          "POST",
          "/v1/machines/" + id + "/" + verb,
          null,
          r -> {
            replyCounts[r.status() == 200 || r.status() == 409 ? 0 : 1]++;
            assertTrue(r.status() != 500, "a request was answered with 500");
          });
      cluster.run(cluster.sim.between(0, 40));
    }
    cluster.run(10_000);
    assertEquals(40, replyCounts[0] + replyCounts[1]);
    assertTrue(replyCounts[0] >= 30, replyCounts[0] + " of 40 requests answered with 200 or 409");
  }
}
