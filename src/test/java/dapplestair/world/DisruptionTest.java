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
 * Budgets of disruption while machines, zones and leaders fail: what is out by choice is counted by
 * the checker on the machines themselves.
 */
class DisruptionTest {
  private static final int SERVICES = 12;
  private static final int REPLICAS = 3 * SERVICES;

  /** Two teams' services of three replicas, and operators who allow so many out at once. */
  static SimulatedCluster begun(long seed, int one, int two) {
    SimulatedCluster w = new SimulatedCluster(seed, SimulatedCluster.Size.MIDDLE, true);
    w.net.loss = 0;
    w.users.quiet = true;
    allow(w, one, two);
    for (int i = 0; i < SERVICES; i++) {
      w.users.service("one", 3);
      w.users.service("two", 3);
    }
    w.users.array("one", "standard", 40, 20);
    w.run(45_000);
    assertEquals(2 * REPLICAS, replicas(w), "replicas at the beginning");
    return w;
  }

  /** From the next start of each controller on; all of them start again now. */
  private static void allow(SimulatedCluster w, int one, int two) {
    DisruptionBudgets.DisruptionBudget d = DisruptionBudgets.USUAL.others();
    w.operatorSettings =
        OperatorSettings.defaults()
            .withBudgets(
                new DisruptionBudgets(Map.of("one", replicas(d, one), "two", replicas(d, two)), d));
    w.nodes.forEach(n -> n.crash(1000));
    w.run(8000);
    w.checker.budget = team -> team.equals("one") ? one : two;
  }

  private static DisruptionBudgets.DisruptionBudget replicas(
      DisruptionBudgets.DisruptionBudget d, int most) {
    return new DisruptionBudgets.DisruptionBudget(
        most, Double.POSITIVE_INFINITY, 1, Double.POSITIVE_INFINITY, d.arrayTasks(), d.lostCpuS());
  }

  static int replicas(SimulatedCluster w) {
    int n = 0;
    for (EmulatedWorker m : w.cloud.machines()) {
      n +=
          m.gone() ? 0 : (int) m.tasks().stream().filter(t -> t.onMachine() && t.service()).count();
    }
    return n;
  }

  static long tasksIn(SimulatedCluster w, String zone) {
    return w.cloud.machines().stream()
        .filter(m -> !m.gone() && m.zone().equals(zone))
        .flatMap(m -> m.tasks().stream())
        .filter(EmulatedTask::onMachine)
        .count();
  }

  /** A zone is emptied within two teams' budgets, whoever leads, and both move. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void budgetsOutliveLeaders(long seed) {
    SimulatedCluster w = begun(seed, 1, 3);
    OperatorsTest.submitOrder(w, "/v1/zones/c/drain", Json.object().put("why", "power"));
    for (int i = 0; i < 8; i++) {
      // Held back, so that stops of the former leader arrive when the next one has begun.
      for (EmulatedWorker m : List.copyOf(w.cloud.machines())) {
        if (w.sim.chance(0.3)) {
          w.nodes.forEach(n -> w.net.cut("node-" + n.index, m.endpoint(), true));
        }
      }
      w.run(w.sim.between(200, 2500));
      if (w.leader() != null) {
        w.leader().crash(w.sim.between(500, 4000));
      }
      w.run(w.sim.between(500, 3000));
      for (EmulatedWorker m : List.copyOf(w.cloud.machines())) {
        w.nodes.forEach(n -> w.net.heal("node-" + n.index, m.endpoint()));
      }
      w.run(w.sim.between(1000, 4000));
    }
    w.run(150_000);
    assertEquals(2 * REPLICAS, replicas(w), "replicas in the end");
    assertEquals(0, tasksIn(w, "c"), "tasks left in the zone");
    assertEquals(1, w.checker.mostStopped.get("one"), "a budget of one was not used");
    assertTrue(w.checker.mostStopped.get("two") > 1, "a budget of three was used as one of one");
  }

  /**
   * Orders are held back and answers lost, leaders end, and each time other machines are drained:
   * what the former leader has stopped, or may yet stop, counts for the next one.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {401, 402, 403, 404})
  void stopsOfTheFormerLeaderCount(long seed) {
    SimulatedCluster w = begun(seed, 1, 1);
    for (int i = 0; i < 6; i++) {
      SimulatedCluster.ControllerNode leader = w.leader();
      if (leader == null) {
        w.run(2000);
        continue;
      }
      List<EmulatedWorker> some =
          w.cloud.machines().stream()
              .filter(m -> !m.gone() && m.tasks().stream().anyMatch(EmulatedTask::service))
              .filter(m -> w.sim.chance(0.5))
              .limit(seed % 2 == 0 ? 1 : 100)
              .toList();
      for (EmulatedWorker m : some) {
        w.net.cut("node-" + leader.index, m.endpoint(), true);
        for (SimulatedCluster.ControllerNode n : w.nodes) {
          w.net.cutOneWay(SimulatedCluster.client(n.index), m.endpoint());
          if (n != leader) {
            w.net.cutOneWay("node-" + n.index, m.endpoint());
          }
        }
        OperatorsTest.sendRequest(
            w, leader.index, "POST", "/v1/machines/" + m.id() + "/drain", null, r -> {});
      }
      w.run(w.sim.between(900, 2500));
      for (EmulatedWorker m : some) {
        OperatorsTest.sendRequest(
            w, leader.index, "POST", "/v1/machines/" + m.id() + "/undrain", null, r -> {});
      }
      w.run(400);
      leader.crash(15_000);
      for (int k = 0; k < 60 && (w.leader() == null || w.leader() == leader); k++) {
        w.run(200);
      }
      for (EmulatedWorker m : w.cloud.machines()) {
        if (!some.contains(m) && w.leader() != null) {
          OperatorsTest.sendRequest(
              w, w.leader().index, "POST", "/v1/machines/" + m.id() + "/drain", null, r -> {});
        }
      }
      w.run(w.sim.between(200, 3500));
      for (EmulatedWorker m : some) {
        w.net.heal("node-" + leader.index, m.endpoint());
      }
      w.run(200);
      for (EmulatedWorker m : List.copyOf(w.cloud.machines())) {
        for (SimulatedCluster.ControllerNode n : w.nodes) {
          w.net.healOneWay(SimulatedCluster.client(n.index), m.endpoint());
          w.net.healOneWay("node-" + n.index, m.endpoint());
        }
        if (w.leader() != null) {
          OperatorsTest.sendRequest(
              w, w.leader().index, "POST", "/v1/machines/" + m.id() + "/undrain", null, r -> {});
        }
      }
      w.run(14_000);
    }
    assertTrue(w.checker.mostStopped.values().stream().mapToInt(n -> n).sum() > 0);
  }

  /** Nothing is stopped, and why says that it never will be. */
  @Test
  void zeroMeansNever() {
    SimulatedCluster w = begun(7, 0, 3);
    OperatorsTest.submitOrder(w, "/v1/zones/c/drain", Json.object().put("deadline_s", 5));
    w.run(60_000);
    assertTrue(w.checker.mostStopped.getOrDefault("one", 0) == 0, "a replica of one was stopped");
    long left =
        w.cloud.machines().stream()
            .filter(m -> !m.gone() && m.zone().equals("c"))
            .flatMap(m -> m.tasks().stream())
            .filter(t -> t.onMachine() && t.service())
            .count();
    assertTrue(left > 0, "no replica of one was in the zone");
    boolean said = false;
    for (SimulatedUsers.KnownJob job : w.users.told.values()) {
      if (job.team.equals("one") && job.service && !said) {
        JsonNode why = OperatorsTest.awaitResponse(w, "/v1/jobs/" + job.ref + "/why");
        said = why.path("not_moved").asText().contains("zero means never");
      }
    }
    assertTrue(said, "no job of the team says why it is not moved");
  }

  /** A team that has lost replicas is not drained on top of it; the other one is. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {11, 12, 13})
  void whatIsLostCounts(long seed) {
    SimulatedCluster w = begun(seed, 1, 2);
    // These may run nowhere else, and there the cloud will have no more machines.
    SimulatedUsers.KnownJob lost =
        w.users.changed(
            "one",
            3,
            0,
            b ->
                b.put("shape", "daemon")
                    .put("jobclass", "serve")
                    .put("rank", "critical")
                    .put("vcpus", SimulatedCluster.CPUS)
                    .put("basin", "a")
                    .put("loaners", false));
    w.run(20_000);
    w.cloud.setCapacity(0);
    List.copyOf(w.cloud.machines()).stream()
        .filter(m -> m.tasks().stream().anyMatch(t -> t.key().startsWith(lost.ref + "/")))
        .forEach(EmulatedWorker::end);
    w.run(4 * SimulatedCluster.REPORT_MS);
    w.checker.mostStopped.clear();
    OperatorsTest.submitOrder(w, "/v1/zones/c/drain", Json.object());
    w.run(40_000);
    assertEquals(0, w.checker.mostStopped.getOrDefault("one", 0), "drained on top of a loss");
    assertTrue(w.checker.mostStopped.getOrDefault("two", 0) > 0, "the other team does not move");
    w.cloud.setCapacity(1);
    w.run(90_000);
    assertEquals(2 * REPLICAS + 3, replicas(w), "replicas in the end");
    assertEquals(0, tasksIn(w, "c"), "tasks left in the zone");
  }

  /** Operators allow so many CPU seconds of each team's work to be thrown away in an hour. */
  static void allowLoss(SimulatedCluster w, double cpuS) {
    DisruptionBudgets.DisruptionBudget d = DisruptionBudgets.USUAL.others();
    w.operatorSettings =
        OperatorSettings.defaults()
            .withBudgets(
                new DisruptionBudgets(
                    Map.of(),
                    new DisruptionBudgets.DisruptionBudget(1, 1, 1, 1, d.arrayTasks(), cpuS)));
    w.nodes.forEach(n -> n.crash(1000));
    w.run(8000);
  }

  /** A budget of work thrown away is kept over leaders and a restart of all. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {21, 22, 23})
  void workThrownAwayIsBounded(long seed) {
    SimulatedCluster w = begun(seed, 1, 1);
    double most = 2.0 * 60 * 8;
    allowLoss(w, most);
    SimulatedUsers.KnownJob array = w.users.array("two", "standard", 60, 300);
    w.run(40_000);
    for (String zone : SimulatedCluster.ZONES) {
      OperatorsTest.submitOrder(
          w, "/v1/zones/" + zone + "/drain", Json.object().put("deadline_s", 1));
    }
    for (int i = 0; i < 5; i++) {
      w.run(w.sim.between(500, 4000));
      if (i == 2) {
        w.nodes.forEach(n -> n.crash(w.sim.between(500, 3000)));
      } else if (w.leader() != null) {
        w.leader().crash(w.sim.between(500, 3000));
      }
    }
    w.run(30_000);
    double lost = w.checker.thrownAwayCpuS.getOrDefault("two", 0.0);
    assertTrue(lost > 0, "nothing was stopped at the deadline");
    assertTrue(lost <= most + 1e-6, lost + " CPU seconds thrown away of " + most);
    assertTrue(array.accepted && !array.done);
  }

  /** Operators lower a budget while more is out than it allows: nothing more goes until it fits. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {31, 32, 33})
  void aBudgetLoweredBelowWhatIsOut(long seed) {
    SimulatedCluster w = begun(seed, 6, 6);
    OperatorsTest.submitOrder(w, "/v1/zones/c/drain", Json.object());
    for (int i = 0; i < 100 && w.checker.mostStopped.getOrDefault("one", 0) <= 1; i++) {
      w.run(200);
    }
    assertTrue(w.checker.mostStopped.getOrDefault("one", 0) > 1, "only one was out");
    allow(w, 1, 1);
    w.checker.mostStopped.clear();
    w.run(150_000);
    assertEquals(2 * REPLICAS, replicas(w), "replicas in the end");
    assertEquals(0, tasksIn(w, "c"), "tasks left in the zone");
  }
}
