package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import dapplestair.json.Json;
import dapplestair.settings.DisruptionBudgets;
import dapplestair.settings.OperatorSettings;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests disruption budgets while machines, zones and leaders fail. The invariant checker counts the
 * deliberately stopped replicas on the machines themselves.
 */
class DisruptionTest {
  private static final int SERVICES = 12;
  private static final int REPLICAS = 3 * SERVICES;

  /**
   * Starts services of three replicas each for two teams, with at most {@code maxOutOfOne} and
   * {@code maxOutOfTwo} replicas stopped at once.
   */
  static SimulatedCluster startServices(long seed, int maxOutOfOne, int maxOutOfTwo) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM, true);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    setReplicaBudgets(cluster, maxOutOfOne, maxOutOfTwo);
    for (int i = 0; i < SERVICES; i++) {
      cluster.users.submitService("one", 3);
      cluster.users.submitService("two", 3);
    }
    cluster.users.submitArray("one", "standard", 40, 20);
    cluster.run(45_000);
    assertEquals(2 * REPLICAS, countReplicas(cluster), "running replicas at the beginning");
    return cluster;
  }

  /** Sets the budgets and restarts all controllers, which read them at their start. */
  private static void setReplicaBudgets(
      SimulatedCluster cluster, int maxOutOfOne, int maxOutOfTwo) {
    DisruptionBudgets.DisruptionBudget defaults = DisruptionBudgets.DEFAULTS.defaultBudget();
    cluster.operatorSettings =
        OperatorSettings.defaults()
            .withBudgets(
                new DisruptionBudgets(
                    Map.of(
                        "one",
                        replicaBudget(defaults, maxOutOfOne),
                        "two",
                        replicaBudget(defaults, maxOutOfTwo)),
                    defaults));
    cluster.nodes.forEach(n -> n.crash(1000));
    cluster.run(8000);
    cluster.checker.teamDisruptionBudget = team -> team.equals("one") ? maxOutOfOne : maxOutOfTwo;
  }

  private static DisruptionBudgets.DisruptionBudget replicaBudget(
      DisruptionBudgets.DisruptionBudget defaults, int maxOut) {
    return new DisruptionBudgets.DisruptionBudget(
        maxOut,
        Double.POSITIVE_INFINITY,
        1,
        Double.POSITIVE_INFINITY,
        defaults.arrayTasks(),
        defaults.lostCpuS());
  }

  static int countReplicas(SimulatedCluster cluster) {
    int count = 0;
    for (EmulatedWorker m : cluster.cloud.machines()) {
      count +=
          m.isGone()
              ? 0
              : (int) m.tasks().stream().filter(t -> t.isOnMachine() && t.isService()).count();
    }
    return count;
  }

  static long countTasksInZone(SimulatedCluster cluster, String zone) {
    return cluster.cloud.machines().stream()
        .filter(m -> !m.isGone() && m.zone().equals(zone))
        .flatMap(m -> m.tasks().stream())
        .filter(EmulatedTask::isOnMachine)
        .count();
  }

  /**
   * A zone is drained within the budgets of two teams under changing leaders, and both teams'
   * replicas move.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void budgetsHoldAcrossLeaderChanges(long seed) {
    SimulatedCluster cluster = startServices(seed, 1, 3);
    OperatorsTest.submitOrder(cluster, "/v1/zones/c/drain", Json.object().put("why", "power"));
    for (int i = 0; i < 8; i++) {
      // Holds messages back, so that stop commands of the former leader arrive after the next one
      // has begun to lead.
      for (EmulatedWorker m : List.copyOf(cluster.cloud.machines())) {
        if (cluster.sim.chance(0.3)) {
          cluster.nodes.forEach(n -> cluster.network.cut("node-" + n.index, m.endpoint(), true));
        }
      }
      cluster.run(cluster.sim.between(200, 2500));
      if (cluster.leader() != null) {
        cluster.leader().crash(cluster.sim.between(500, 4000));
      }
      cluster.run(cluster.sim.between(500, 3000));
      for (EmulatedWorker m : List.copyOf(cluster.cloud.machines())) {
        cluster.nodes.forEach(n -> cluster.network.heal("node-" + n.index, m.endpoint()));
      }
      cluster.run(cluster.sim.between(1000, 4000));
    }
    cluster.run(150_000);
    assertEquals(2 * REPLICAS, countReplicas(cluster), "running replicas in the end");
    assertEquals(0, countTasksInZone(cluster, "c"), "tasks left in the zone");
    assertEquals(
        1,
        cluster.checker.maxStoppedReplicas.get("one"),
        "replicas of team one stopped at once, with a budget of one");
    assertTrue(
        cluster.checker.maxStoppedReplicas.get("two") > 1,
        "team two never used more than one of its budget of three");
  }

  /**
   * Commands are held back and responses lost, leaders end, and other machines are drained each
   * time: replicas that the former leader has stopped, or may still stop, count against the budget
   * of the next leader.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {401, 402, 403, 404})
  void stopsOfTheFormerLeaderCount(long seed) {
    SimulatedCluster cluster = startServices(seed, 1, 1);
    for (int i = 0; i < 6; i++) {
      SimulatedCluster.ControllerNode leader = cluster.leader();
      if (leader == null) {
        cluster.run(2000);
        continue;
      }
      List<EmulatedWorker> cutOffMachines =
          cluster.cloud.machines().stream()
              .filter(m -> !m.isGone() && m.tasks().stream().anyMatch(EmulatedTask::isService))
              .filter(m -> cluster.sim.chance(0.5))
              .limit(seed % 2 == 0 ? 1 : 100)
              .toList();
      for (EmulatedWorker m : cutOffMachines) {
        cluster.network.cut("node-" + leader.index, m.endpoint(), true);
        for (SimulatedCluster.ControllerNode n : cluster.nodes) {
          cluster.network.cutOneWay(SimulatedCluster.clientAddress(n.index), m.endpoint());
          if (n != leader) {
            cluster.network.cutOneWay("node-" + n.index, m.endpoint());
          }
        }
        OperatorsTest.sendRequest(
            cluster, leader.index, "POST", "/v1/machines/" + m.id() + "/drain", null, r -> {});
      }
      cluster.run(cluster.sim.between(900, 2500));
      for (EmulatedWorker m : cutOffMachines) {
        OperatorsTest.sendRequest(
            cluster, leader.index, "POST", "/v1/machines/" + m.id() + "/undrain", null, r -> {});
      }
      cluster.run(400);
      leader.crash(15_000);
      for (int k = 0; k < 60 && (cluster.leader() == null || cluster.leader() == leader); k++) {
        cluster.run(200);
      }
      for (EmulatedWorker m : cluster.cloud.machines()) {
        if (!cutOffMachines.contains(m) && cluster.leader() != null) {
          OperatorsTest.sendRequest(
              cluster,
              cluster.leader().index,
              "POST",
              "/v1/machines/" + m.id() + "/drain",
              null,
              r -> {});
        }
      }
      cluster.run(cluster.sim.between(200, 3500));
      for (EmulatedWorker m : cutOffMachines) {
        cluster.network.heal("node-" + leader.index, m.endpoint());
      }
      cluster.run(200);
      for (EmulatedWorker m : List.copyOf(cluster.cloud.machines())) {
        for (SimulatedCluster.ControllerNode n : cluster.nodes) {
          cluster.network.healOneWay(SimulatedCluster.clientAddress(n.index), m.endpoint());
          cluster.network.healOneWay("node-" + n.index, m.endpoint());
        }
        if (cluster.leader() != null) {
          OperatorsTest.sendRequest(
              cluster,
              cluster.leader().index,
              "POST",
              "/v1/machines/" + m.id() + "/undrain",
              null,
              r -> {});
        }
      }
      cluster.run(14_000);
    }
    assertTrue(cluster.checker.maxStoppedReplicas.values().stream().mapToInt(n -> n).sum() > 0);
  }

  /**
   * With a budget of zero no replica is stopped, and the job's explanation says that it never will
   * be.
   */
  @Test
  void aBudgetOfZeroStopsNothing() {
    SimulatedCluster cluster = startServices(7, 0, 3);
    OperatorsTest.submitOrder(cluster, "/v1/zones/c/drain", Json.object().put("deadline_s", 5));
    cluster.run(60_000);
    assertTrue(
        cluster.checker.maxStoppedReplicas.getOrDefault("one", 0) == 0,
        "a replica of team one was stopped");
    long replicasInZone =
        cluster.cloud.machines().stream()
            .filter(m -> !m.isGone() && m.zone().equals("c"))
            .flatMap(m -> m.tasks().stream())
            .filter(t -> t.isOnMachine() && t.isService())
            .count();
    assertTrue(replicasInZone > 0, "no replica of team one is left in the zone");
    boolean explained = false;
    for (SimulatedUsers.KnownJob job : cluster.users.jobs.values()) {
      if (job.team.equals("one") && job.service && !explained) {
        JsonNode why = OperatorsTest.awaitResponse(cluster, "/v1/jobs/" + job.ref + "/why");
        explained = why.path("not_moved").asText().contains("zero means never");
      }
    }
    assertTrue(explained, "no job of team one explains why it is not moved");
  }

  /**
   * Replicas that a team has lost count against its budget, so that draining stops no more of them;
   * the other team's replicas move.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {11, 12, 13})
  void lostReplicasCountAgainstTheBudget(long seed) {
    SimulatedCluster cluster = startServices(seed, 1, 2);
    // The replicas may run only in this zone, where the cloud will have no more machines.
    SimulatedUsers.KnownJob lostService =
        cluster.users.submitModifiedArray(
            "one",
            3,
            0,
            b ->
                b.put("shape", "daemon")
                    .put("jobclass", "serve")
                    .put("rank", "critical")
                    .put("vcpus", SimulatedCluster.MACHINE_CPUS)
                    .put("basin", "a")
                    .put("loaners", false));
    cluster.run(20_000);
    cluster.cloud.setCapacityShare(0);
    List.copyOf(cluster.cloud.machines()).stream()
        .filter(m -> m.tasks().stream().anyMatch(t -> t.key().startsWith(lostService.ref + "/")))
        .forEach(EmulatedWorker::powerOff);
    cluster.run(4 * SimulatedCluster.REPORT_INTERVAL_MS);
    cluster.checker.maxStoppedReplicas.clear();
    OperatorsTest.submitOrder(cluster, "/v1/zones/c/drain", Json.object());
    cluster.run(40_000);
    assertEquals(
        0,
        cluster.checker.maxStoppedReplicas.getOrDefault("one", 0),
        "replicas of team one stopped in addition to the lost ones");
    assertTrue(
        cluster.checker.maxStoppedReplicas.getOrDefault("two", 0) > 0,
        "no replica of team two was moved");
    cluster.cloud.setCapacityShare(1);
    cluster.run(90_000);
    assertEquals(2 * REPLICAS + 3, countReplicas(cluster), "running replicas in the end");
    assertEquals(0, countTasksInZone(cluster, "c"), "tasks left in the zone");
  }

  /** Sets how many CPU seconds of each team's work may be lost to deliberate stops in an hour. */
  static void setLostWorkBudget(SimulatedCluster cluster, double maxCpuSPerHour) {
    DisruptionBudgets.DisruptionBudget defaults = DisruptionBudgets.DEFAULTS.defaultBudget();
    cluster.operatorSettings =
        OperatorSettings.defaults()
            .withBudgets(
                new DisruptionBudgets(
                    Map.of(),
                    new DisruptionBudgets.DisruptionBudget(
                        1, 1, 1, 1, defaults.arrayTasks(), maxCpuSPerHour)));
    cluster.nodes.forEach(n -> n.crash(1000));
    cluster.run(8000);
  }

  /** A budget of lost work holds across leader changes and a restart of all controllers. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {21, 22, 23})
  void lostWorkStaysWithinTheBudget(long seed) {
    SimulatedCluster cluster = startServices(seed, 1, 1);
    double maxLostCpuS = 2.0 * 60 * 8;
    setLostWorkBudget(cluster, maxLostCpuS);
    SimulatedUsers.KnownJob array = cluster.users.submitArray("two", "standard", 60, 300);
    cluster.run(40_000);
    for (String zone : SimulatedCluster.ZONES) {
      OperatorsTest.submitOrder(
          cluster, "/v1/zones/" + zone + "/drain", Json.object().put("deadline_s", 1));
    }
    for (int i = 0; i < 5; i++) {
      cluster.run(cluster.sim.between(500, 4000));
      if (i == 2) {
        cluster.nodes.forEach(n -> n.crash(cluster.sim.between(500, 3000)));
      } else if (cluster.leader() != null) {
        cluster.leader().crash(cluster.sim.between(500, 3000));
      }
    }
    cluster.run(30_000);
    double lostCpuS = cluster.checker.lostCpuSeconds.getOrDefault("two", 0.0);
    assertTrue(lostCpuS > 0, "no work was lost at the drain deadline");
    assertTrue(
        lostCpuS <= maxLostCpuS + 1e-6,
        lostCpuS + " CPU seconds lost, with a budget of " + maxLostCpuS);
    assertTrue(array.accepted && !array.done);
  }

  /**
   * Operators lower a budget while more replicas are stopped than it allows: no more are stopped
   * until the number is within the budget.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {31, 32, 33})
  void aBudgetLoweredBelowTheStoppedReplicas(long seed) {
    SimulatedCluster cluster = startServices(seed, 6, 6);
    OperatorsTest.submitOrder(cluster, "/v1/zones/c/drain", Json.object());
    for (int i = 0;
        i < 100 && cluster.checker.maxStoppedReplicas.getOrDefault("one", 0) <= 1;
        i++) {
      cluster.run(200);
    }
    assertTrue(
        cluster.checker.maxStoppedReplicas.getOrDefault("one", 0) > 1,
        "at most one replica of team one was stopped at once");
    setReplicaBudgets(cluster, 1, 1);
    cluster.checker.maxStoppedReplicas.clear();
    cluster.run(150_000);
    assertEquals(2 * REPLICAS, countReplicas(cluster), "running replicas in the end");
    assertEquals(0, countTasksInZone(cluster, "c"), "tasks left in the zone");
  }
}
