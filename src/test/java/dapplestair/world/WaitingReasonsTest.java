package dapplestair.world;

import static dapplestair.world.OperatorsTest.awaitResponse;
import static dapplestair.world.OperatorsTest.sendRequest;
import static dapplestair.world.OperatorsTest.startQuietCluster;
import static dapplestair.world.OperatorsTest.submitOrder;
import static dapplestair.world.OperatorsTest.waitingReasons;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.emulator.EmulatedWorker;
import dapplestair.json.Json;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks each reason for waiting that operators can see, in a state that causes it. */
class WaitingReasonsTest {
  @Test
  void theTeamsLimitIsNamed() {
    SimulatedCluster cluster =
        startQuietCluster(1, new SimulatedCluster.Size(40, 20, 1_000_000, 1));
    SimulatedUsers.KnownJob job = cluster.users.submitArray("one", "standard", 60, 300);
    cluster.run(40_000);
    assertTrue(
        waitingReasons(cluster, job).contains("team-limit"),
        waitingReasons(cluster, job).toString());
  }

  @Test
  void aCloudWithNothingToGiveIsNamed() {
    SimulatedCluster cluster =
        startQuietCluster(2, new SimulatedCluster.Size(1, 1000, 1_000_000, 1));
    SimulatedUsers.KnownJob job = cluster.users.submitArray("one", "standard", 100, 300);
    cluster.run(40_000);
    Set<String> found = waitingReasons(cluster, job);
    assertTrue(found.contains("cloud-refused") && found.contains("full"), found.toString());
  }

  @Test
  void machinesOnTheirWayAreNamed() {
    SimulatedCluster cluster = startQuietCluster(3, OperatorsTest.ROOMY);
    SimulatedUsers.KnownJob job = cluster.users.submitArray("one", "standard", 60, 300);
    cluster.run(4500);
    JsonNode explanation = awaitResponse(cluster, "/v1/jobs/" + job.ref + "/why");
    boolean isBootingNamed = false;
    for (JsonNode r : explanation.path("reasons")) {
      isBootingNamed |=
          r.path("reason").asText().equals("booting") && r.path("in_s").asDouble() <= 4;
    }
    assertTrue(isBootingNamed, explanation.toString());
    assertTrue(explanation.path("expected_start_s").asDouble(99) <= 4, explanation.toString());
  }

  @Test
  void drainedMachinesAreNamed() {
    SimulatedCluster cluster =
        startQuietCluster(4, new SimulatedCluster.Size(1, 1000, 1_000_000, 1));
    cluster.users.submitArray("one", "standard", 10, 5);
    cluster.run(30_000);
    for (String zone : SimulatedCluster.ZONES) {
      submitOrder(cluster, "/v1/zones/" + zone + "/drain", Json.object());
    }
    SimulatedUsers.KnownJob job = cluster.users.submitArray("one", "standard", 4, 300);
    cluster.run(10_000);
    Set<String> found = waitingReasons(cluster, job);
    assertTrue(found.contains("drained"), found.toString());
    for (String zone : SimulatedCluster.ZONES) {
      submitOrder(cluster, "/v1/zones/" + zone + "/undrain", null);
    }
    cluster.run(20_000);
    assertEquals(Set.of(), waitingReasons(cluster, job));
  }

  @Test
  void aJobThatFailsEverywhereIsBackedOff() {
    SimulatedCluster cluster = startQuietCluster(5, OperatorsTest.ROOMY);
    cluster.extraCheck = () -> cluster.cloud.machines().forEach(EmulatedWorker::failAllTasks);
    SimulatedUsers.KnownJob job = cluster.users.submitArray("one", "standard", 6, 5);
    cluster.run(25_000);
    boolean isNamed = false;
    for (int i = 0; i < 10 && !isNamed; i++) {
      isNamed = waitingReasons(cluster, job).contains("backed-off");
      cluster.run(700);
    }
    assertTrue(isNamed);
  }

  /**
   * Starts a cluster with steady and spot machines in all zones, and a cloud without further
   * capacity.
   */
  private static SimulatedCluster startFullCluster(long seed, int machinesPerPlace) {
    return startFullCluster(seed, machinesPerPlace, 15);
  }

  private static SimulatedCluster startFullCluster(long seed, int machinesPerPlace, double runS) {
    SimulatedCluster cluster =
        startQuietCluster(seed, new SimulatedCluster.Size(machinesPerPlace, 1000, 1_000_000, 1));
    cluster.users.submitArray("one", "standard", 60, runS);
    cluster.users.submitModifiedArray("one", 60, 15, b -> b.put("loaners", false));
    cluster.run(60_000);
    cluster.cloud.setCapacityShare(0);
    return cluster;
  }

  @Test
  void spotMachinesThatAJobDoesNotWantAreNamed() {
    // The tasks run long enough that no spot machine has been returned as idle when the reasons are
    // read.
    SimulatedCluster cluster = startFullCluster(6, 1, 60);
    SimulatedUsers.KnownJob job =
        cluster.users.submitModifiedArray("one", 40, 300, b -> b.put("loaners", false));
    cluster.run(12_000);
    JsonNode explanation = awaitResponse(cluster, "/v1/jobs/" + job.ref + "/why");
    assertEquals(
        Set.of(),
        missingReasons(Set.of("spot", "full"), waitingReasons(cluster, job)),
        explanation.toString());
  }

  /**
   * Free capacity on steady machines is held for the next replicas; jobs that may run on spot
   * machines do not get it.
   */
  @Test
  void roomHeldForServicesIsNamed() {
    SimulatedCluster cluster =
        startQuietCluster(8, new SimulatedCluster.Size(1, 1000, 1_000_000, 1));
    // Services that arrived recently are expected to arrive again.
    for (int i = 0; i < 40; i++) {
      cluster.users.submitModifiedArray(
          "one",
          1,
          0,
          b ->
              b.put("shape", "daemon")
                  .put("jobclass", "serve")
                  .put("rank", "critical")
                  .put("vcpus", 0.25)
                  .put("loaners", false));
    }
    cluster.run(30_000);
    cluster.cloud.setCapacityShare(0);
    SimulatedUsers.KnownJob job = cluster.users.submitArray("one", "standard", 40, 300);
    boolean isNamed = false;
    for (int i = 0; i < 20 && !isNamed; i++) {
      cluster.run(1000);
      isNamed = waitingReasons(cluster, job).contains("held-for-services");
    }
    assertTrue(isNamed, awaitResponse(cluster, "/v1/jobs/" + job.ref + "/why").toString());
  }

  /**
   * A replica whose image is on a machine where other tasks can be stopped sooner than a fetch of
   * the image elsewhere would take.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6, 8, 9, 10, 13, 18})
  void aReplicaThatAwaitsItsImageSaysSo(long seed) {
    SimulatedCluster cluster =
        startQuietCluster(seed, new SimulatedCluster.Size(1, 1000, 1_000_000, 1));
    Consumer<ObjectNode> service =
        b ->
            b.put("shape", "daemon")
                .put("jobclass", "serve")
                .put("rank", "critical")
                .put("loaners", false)
                .put("bundle", "img-large")
                .put("vcpus", 2.0)
                .put("imageGb", 8.0);
    SimulatedUsers.KnownJob first = cluster.users.submitModifiedArray("one", 1, 0, service);
    cluster.run(25_000);
    EmulatedWorker holder = null;
    for (EmulatedWorker m : cluster.cloud.machines()) {
      holder = m.tasks().stream().anyMatch(t -> t.key().equals(first.ref + "/0")) ? m : holder;
    }
    String zone = holder.zone();
    // The zone of the image is full of tasks that may be stopped; other zones keep some free
    // capacity.
    cluster.cloud.setCapacityShare(0);
    cluster.users.submitModifiedArray(
        "one", 40, 300, b -> b.put("loaners", false).put("rank", "low").put("basin", zone));
    cluster.run(15_000);
    double maxFreeElsewhere = 0;
    for (JsonNode r : awaitResponse(cluster, "/v1/machines").path("rows")) {
      double free = r.path("cpus").asDouble() - r.path("used").asDouble();
      if (r.path("id").asText().equals(holder.id())) {
        assertTrue(free < 2, "free capacity on the machine with the image: " + r);
      } else {
        maxFreeElsewhere = Math.max(maxFreeElsewhere, free);
      }
    }
    assertTrue(maxFreeElsewhere >= 2, "no free capacity elsewhere");
    // The replica waits only as long as a stop takes, which is less than the timeout of one
    // request. The stop is made to take a second, and the reasons are read all the time.
    for (SimulatedCluster.ControllerNode n : cluster.nodes) {
      String from = "node-" + n.index;
      String to = holder.endpoint();
      cluster.network.cut(from, to, true);
      cluster.sim.after(1000, () -> cluster.network.heal(from, to));
    }
    SimulatedUsers.KnownJob second = cluster.users.submitModifiedArray("one", 1, 0, service);
    Set<String> found = new LinkedHashSet<>();
    String explanationPath = "/v1/jobs/" + second.ref + "/why";
    for (int i = 0; i < 100 && found.stream().noneMatch(x -> x.contains("awaits-image")); i++) {
      sendRequest(
          cluster,
          i % 3,
          "GET",
          explanationPath,
          null,
          r -> found.add(new String(r.body(), StandardCharsets.UTF_8)));
      cluster.run(20);
    }
    assertTrue(found.stream().anyMatch(x -> x.contains("awaits-image")), found.toString());
  }

  private static Set<String> missingReasons(Set<String> wanted, Set<String> found) {
    Set<String> missing = new HashSet<>(wanted);
    missing.removeAll(found);
    return missing;
  }

  @Test
  void theOnlyZoneAllowedIsNamed() {
    SimulatedCluster cluster = startFullCluster(7, 1);
    SimulatedUsers.KnownJob job =
        cluster.users.submitModifiedArray("one", 40, 300, b -> b.put("basin", "b"));
    cluster.run(12_000);
    Set<String> found = waitingReasons(cluster, job);
    assertEquals(Set.of(), missingReasons(Set.of("not-allowed", "full"), found), found.toString());
  }

  @Test
  void theZoneOfTheOtherTasksIsNamed() {
    SimulatedCluster cluster =
        startQuietCluster(8, new SimulatedCluster.Size(1, 1000, 1_000_000, 1));
    cluster.users.submitArray("one", "standard", 12, 8);
    cluster.run(24_000);
    cluster.cloud.setCapacityShare(0);
    SimulatedUsers.KnownJob job =
        cluster.users.submitModifiedArray("one", 14, 300, b -> b.put("together", true));
    cluster.run(3000);
    Set<String> found = waitingReasons(cluster, job);
    assertTrue(found.contains("together"), found + " " + awaitResponse(cluster, "/v1/machines"));
  }

  @Test
  void aCrowdedZoneIsNamed() {
    SimulatedCluster cluster =
        startQuietCluster(9, new SimulatedCluster.Size(2, 1000, 1_000_000, 1));
    submitOrder(cluster, "/v1/zones/b/drain", Json.object());
    submitOrder(cluster, "/v1/zones/c/drain", Json.object());
    SimulatedUsers.KnownJob job = cluster.users.submitService("one", 6);
    cluster.run(40_000);
    Set<String> found = waitingReasons(cluster, job);
    assertTrue(found.contains("spread"), found.toString());
    assertEquals(3, DrainTest.countRunningTasks(cluster, job));
  }

  @Test
  void aGangThatNeedsMoreRoomIsNamed() {
    SimulatedCluster cluster = startFullCluster(10, 1);
    SimulatedUsers.KnownJob job =
        cluster.users.submitModifiedArray("one", 60, 300, b -> b.put("shape", "gang"));
    // The tasks that ran there before have ended by then.
    cluster.run(20_000);
    JsonNode explanation = awaitResponse(cluster, "/v1/jobs/" + job.ref + "/why");
    boolean isNamed = false;
    for (JsonNode r : explanation.path("reasons")) {
      int roomFor = r.path("room_for").asInt(-1);
      isNamed |= r.path("reason").asText().equals("gang") && roomFor > 0 && roomFor < 60;
    }
    assertTrue(isNamed, explanation.toString());
  }

  @Test
  void aGangThatHasWaitedLongIsNamedToThoseBehindIt() {
    SimulatedCluster cluster = startFullCluster(15, 1);
    cluster.users.submitModifiedArray("one", 60, 10, b -> b.put("shape", "gang"));
    cluster.run(45_000);
    SimulatedUsers.KnownJob laterJob = cluster.users.submitArray("one", "standard", 6, 300);
    cluster.run(4000);
    Set<String> found = waitingReasons(cluster, laterJob);
    assertTrue(found.contains("behind-gang"), found.toString());
  }

  @Test
  void machinesThatFailEverythingAreNamed() {
    SimulatedCluster cluster = startFullCluster(14, 1);
    // Idle machines were returned meanwhile; some boot again for this job.
    cluster.cloud.setCapacityShare(1);
    cluster.users.submitArray("one", "standard", 20, 10);
    cluster.run(12_000);
    cluster.cloud.machines().forEach(EmulatedWorker::failAllTasks);
    cluster.users.submitArray("one", "standard", 6, 10);
    cluster.users.submitArray("two", "standard", 6, 10);
    cluster.run(10_000);
    cluster.cloud.setDown(true);
    SimulatedUsers.KnownJob job = cluster.users.submitArray("one", "standard", 6, 10);
    cluster.run(20_000);
    Set<String> found = waitingReasons(cluster, job);
    assertTrue(found.contains("faulty") || found.contains("returning"), found.toString());
  }
}
