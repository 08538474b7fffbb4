package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import dapplestair.relay.RelayAssignment;
import dapplestair.settings.OperatorSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Worker connections are spread over all controllers, which relay reports and commands
 * (docs/sharing.md). The invariant checker of the simulated cluster runs after each step. With
 * {@code -Dworld.relayAbove=0}, all other tests run in this mode, too.
 */
class RelayTest {
  /**
   * Time until relay assignments are stable: controllers become candidates after a quarter of a
   * lease, and then each worker reports once.
   */
  private static final long SETTLED_MS =
      SimulatedCluster.LEASE_MS / 4 + 3 * SimulatedCluster.REPORT_INTERVAL_MS;

  /** A simulated cluster that records to which controller each worker sent its last report. */
  private static final class Scenario {
    final SimulatedCluster cluster;
    final Map<String, String> reportsTo = new HashMap<>();

    Scenario(long seed) {
      cluster = DisruptionTest.startServices(seed, 5, 5);
      cluster.checker.teamDisruptionBudget = null;
      cluster.operatorSettings = cluster.operatorSettings.withRelayAbove(0);
      cluster.nodes.forEach(n -> n.crash(1000));
      cluster.network.observe(
          r -> {
            if (r.path().equals("/agent/beat")) {
              reportsTo.put(r.from(), r.to());
            }
          });
      cluster.run(8000 + SETTLED_MS);
    }

    Map<String, String> reportTargets() {
      Map<String, String> targets = new HashMap<>();
      for (EmulatedWorker m : cluster.cloud.machines()) {
        if (!m.isGone() && reportsTo.containsKey(m.endpoint())) {
          targets.put(m.endpoint(), reportsTo.get(m.endpoint()));
        }
      }
      return targets;
    }

    /** Returns the number of machines whose worker reports to the node. */
    long workersReportingTo(SimulatedCluster.ControllerNode node) {
      return reportTargets().values().stream()
          .filter(SimulatedCluster.clientAddress(node.index)::equals)
          .count();
    }

    SimulatedCluster.ControllerNode follower() {
      return cluster.nodes.get((cluster.leader().index + 1) % 3);
    }
  }

  private static String assignedEndpoint(EmulatedWorker machine) {
    List<RelayAssignment.Candidate> candidates = new ArrayList<>();
    for (int i = 0; i < SimulatedCluster.NODE_ZONES.size(); i++) {
      candidates.add(
          new RelayAssignment.Candidate("node-" + i, SimulatedCluster.NODE_ZONES.get(i)));
    }
    return RelayAssignment.controllerFor(machine.id(), machine.zone(), candidates) + ":8080";
  }

  /** Each controller takes the workers assigned to it, and the leader takes none of the others. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {9701, 9702, 9703})
  void connectionsAreSpreadOverControllers(long seed) {
    Scenario scenario = new Scenario(seed);
    Map<String, String> reports = scenario.reportTargets();
    assertTrue(reports.size() > 5, "only " + reports);
    for (EmulatedWorker m : scenario.cluster.cloud.machines()) {
      if (reports.containsKey(m.endpoint())) {
        assertEquals(assignedEndpoint(m), reports.get(m.endpoint()), m.id());
      }
    }
    assertTrue(
        3 * scenario.workersReportingTo(scenario.cluster.leader())
            < 2 * scenario.reportTargets().size(),
        "the leader has two thirds of the connections or more");
    SimulatedUsers.KnownJob array = scenario.cluster.users.submitArray("one", "high", 30, 5);
    scenario.cluster.run(30_000);
    assertTrue(array.done, "the array is not done");
    assertEquals(
        0, scenario.cluster.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
    SeededDaysTest.settle(scenario.cluster);
  }

  /** A leader crash does not move a worker whose own controller is up, and no task is lost. */
  @ParameterizedTest(name = "seed {0}, back after {1} ms")
  @CsvSource({"9711,60", "9712,600", "9713,3000", "9714,20000"})
  void aLeaderCrashMovesOnlyItsOwnWorkers(long seed, long backAfterMs) {
    Scenario scenario = new Scenario(seed);
    SimulatedCluster.ControllerNode leader = scenario.cluster.leader();
    Map<String, String> targetsBefore = scenario.reportTargets();
    int killedBefore =
        scenario.cluster.cloud.tasksKilledByLease() + scenario.cluster.cloud.tasksKilledByRelease();
    leader.crash(backAfterMs);
    scenario.cluster.run(2 * SimulatedCluster.REPORT_INTERVAL_MS);
    Map<String, String> targetsAfter = scenario.reportTargets();
    targetsBefore.forEach(
        (machine, node) -> {
          if (!node.equals(SimulatedCluster.clientAddress(leader.index))) {
            assertEquals(
                node, targetsAfter.get(machine), machine + " was moved to another controller");
          }
        });
    scenario.cluster.run(SimulatedCluster.LEASE_MS);
    assertEquals(
        killedBefore,
        scenario.cluster.cloud.tasksKilledByLease() + scenario.cluster.cloud.tasksKilledByRelease(),
        "tasks killed");
    SeededDaysTest.settle(scenario.cluster);
  }

  /** Whatever fault a relay has, its workers find another path before their leases end. */
  @ParameterizedTest(name = "seed {0}, a relay {1}")
  @CsvSource({
    "9721,ends",
    "9722,ends and returns at once",
    "9723,stands still",
    "9724,loses its peers and the state service",
    "9725,loses its workers",
    "9726,loses the leader alone",
    "9727,ends with the leader"
  })
  void aRelayFaultCostsNoTask(long seed, String fault) {
    Scenario scenario = new Scenario(seed);
    SimulatedCluster.ControllerNode relay = scenario.follower();
    int killedBefore =
        scenario.cluster.cloud.tasksKilledByLease() + scenario.cluster.cloud.tasksKilledByRelease();
    long faultMs = 2 * SimulatedCluster.LEASE_MS;
    switch (fault) {
      case "ends" -> relay.crash(faultMs);
      case "ends and returns at once" -> relay.crash(80);
      case "stands still" -> relay.freeze(faultMs);
      case "loses its peers and the state service" ->
          new RandomFaults(scenario.cluster).isolateFromPeersAndState(relay, true, faultMs);
      case "loses its workers" -> {
        List<String> machines =
            scenario.cluster.cloud.machines().stream().map(EmulatedWorker::endpoint).toList();
        for (String m : machines) {
          for (String endpoint :
              List.of("node-" + relay.index, SimulatedCluster.clientAddress(relay.index))) {
            scenario.cluster.network.cut(endpoint, m, true);
            scenario.cluster.sim.after(faultMs, () -> scenario.cluster.network.heal(endpoint, m));
          }
        }
      }
      case "loses the leader alone" -> {
        String leader = "node-" + scenario.cluster.leader().index;
        scenario.cluster.network.cut("node-" + relay.index, leader, true);
        scenario.cluster.sim.after(
            faultMs, () -> scenario.cluster.network.heal("node-" + relay.index, leader));
      }
      default -> {
        scenario.cluster.leader().crash(2000);
        relay.crash(2000);
      }
    }
    SimulatedUsers.KnownJob array = scenario.cluster.users.submitArray("one", "high", 20, 5);
    scenario.cluster.run(faultMs);
    assertEquals(
        killedBefore,
        scenario.cluster.cloud.tasksKilledByLease() + scenario.cluster.cloud.tasksKilledByRelease(),
        "tasks killed");
    assertTrue(array.done, "the array is not done during the fault");
    scenario.cluster.run(SETTLED_MS);
    assertTrue(
        fault.contains("leader") || scenario.workersReportingTo(relay) > 0,
        "no worker reports to the relay again");
    SeededDaysTest.settle(scenario.cluster);
  }

  /**
   * Commands wait in the buffers of a frozen relay while the leader changes and jobs are cancelled;
   * then all of them are delivered late.
   */
  @ParameterizedTest(name = "seed {0}, the relay stands still for {1} ms")
  @CsvSource({"9731,1500", "9732,4000", "9733,9000", "9734,16000", "9735,40000"})
  void commandsAreDeliveredLate(long seed, long frozenMs) {
    Scenario scenario = new Scenario(seed);
    SimulatedCluster.ControllerNode leader = scenario.cluster.leader();
    SimulatedCluster.ControllerNode relay = scenario.follower();
    List<SimulatedUsers.KnownJob> jobs =
        List.of(
            scenario.cluster.users.submitArray("one", "high", 30, 60),
            scenario.cluster.users.submitArray("two", "high", 30, 60),
            scenario.cluster.users.submitService("one", 3));
    scenario.cluster.run(SimulatedCluster.REPORT_INTERVAL_MS / 2);
    relay.freeze(frozenMs);
    scenario.cluster.run(SimulatedCluster.REPORT_INTERVAL_MS / 2);
    jobs.forEach(scenario.cluster.users::cancel);
    scenario.cluster.run(200);
    leader.crash(3000);
    scenario.cluster.run(frozenMs + SimulatedCluster.CANCEL_DEADLINE_MS);
    assertNotEquals(null, scenario.cluster.leader(), "no controller leads");
    SeededDaysTest.settle(scenario.cluster);
  }

  /**
   * Runs fault combinations as {@link FaultCombinationTest} does, with connections spread over the
   * controllers.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {9741, 9742, 9743, 9744, 9745, 9746})
  void troublesMeet(long seed) {
    OperatorSettings spread = OperatorSettings.defaults().withRelayAbove(0);
    FaultCombinationTest.run(
        new SimulatedCluster(seed, FaultCombinationTest.SHORT_JOBS, true, spread),
        seed,
        seed % 2 == 0 ? RandomFaults::injectAny : RandomFaults::injectMachineFault);
  }
}
