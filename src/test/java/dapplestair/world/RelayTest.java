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
 * Connections of workers spread over all controllers, which relay reports and commands
 * (docs/sharing.md). That the rules hold is checked by the world's checker after each step. All
 * other tests are played so with {@code -Dworld.relayAbove=0}.
 */
class RelayTest {
  /** Controllers are candidates after a quarter of a lease; then each worker reports once. */
  private static final long SETTLED_MS =
      SimulatedCluster.LEASE_MS / 4 + 3 * SimulatedCluster.REPORT_INTERVAL_MS;

  /** To which controller each worker sent its last report. */
  private static final class Day {
    final SimulatedCluster w;
    final Map<String, String> reportsTo = new HashMap<>();

    Day(long seed) {
      w = DisruptionTest.startServices(seed, 5, 5);
      w.checker.teamDisruptionBudget = null;
      w.operatorSettings = w.operatorSettings.withRelayAbove(0);
      w.nodes.forEach(n -> n.crash(1000));
      w.network.observe(
          r -> {
            if (r.path().equals("/agent/beat")) {
              reportsTo.put(r.from(), r.to());
            }
          });
      w.run(8000 + SETTLED_MS);
    }

    Map<String, String> living() {
      Map<String, String> out = new HashMap<>();
      for (EmulatedWorker m : w.cloud.machines()) {
        if (!m.isGone() && reportsTo.containsKey(m.endpoint())) {
          out.put(m.endpoint(), reportsTo.get(m.endpoint()));
        }
      }
      return out;
    }

    /** Machines whose worker reports to a node. */
    long at(SimulatedCluster.ControllerNode node) {
      return living().values().stream()
          .filter(SimulatedCluster.clientAddress(node.index)::equals)
          .count();
    }

    SimulatedCluster.ControllerNode follower() {
      return w.nodes.get((w.leader().index + 1) % 3);
    }
  }

  private static String assigned(EmulatedWorker machine) {
    List<RelayAssignment.Candidate> candidates = new ArrayList<>();
    for (int i = 0; i < SimulatedCluster.NODE_ZONES.size(); i++) {
      candidates.add(
          new RelayAssignment.Candidate("node-" + i, SimulatedCluster.NODE_ZONES.get(i)));
    }
    return RelayAssignment.controllerFor(machine.id(), machine.zone(), candidates) + ":8080";
  }

  /** Each controller takes its part, and the leader none of the others'. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {9701, 9702, 9703})
  void connectionsAreSpread(long seed) {
    Day d = new Day(seed);
    Map<String, String> reports = d.living();
    assertTrue(reports.size() > 5, "only " + reports);
    for (EmulatedWorker m : d.w.cloud.machines()) {
      if (reports.containsKey(m.endpoint())) {
        assertEquals(assigned(m), reports.get(m.endpoint()), m.id());
      }
    }
    assertTrue(3 * d.at(d.w.leader()) < 2 * d.living().size(), "the leader takes most");
    SimulatedUsers.KnownJob array = d.w.users.submitArray("one", "high", 30, 5);
    d.w.run(30_000);
    assertTrue(array.done, "an array is not done");
    assertEquals(0, d.w.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
    SeededDaysTest.settle(d.w);
  }

  /** Its end sends no worker away whose own controller lives, and costs no task. */
  @ParameterizedTest(name = "seed {0}, back after {1} ms")
  @CsvSource({"9711,60", "9712,600", "9713,3000", "9714,20000"})
  void theLeadersEndMovesOnlyItsOwn(long seed, long backAfterMs) {
    Day d = new Day(seed);
    SimulatedCluster.ControllerNode leader = d.w.leader();
    Map<String, String> before = d.living();
    int lost = d.w.cloud.tasksKilledByLease() + d.w.cloud.tasksKilledByRelease();
    leader.crash(backAfterMs);
    d.w.run(2 * SimulatedCluster.REPORT_INTERVAL_MS);
    Map<String, String> after = d.living();
    before.forEach(
        (machine, node) -> {
          if (!node.equals(SimulatedCluster.clientAddress(leader.index))) {
            assertEquals(node, after.get(machine), machine + " was sent away");
          }
        });
    d.w.run(SimulatedCluster.LEASE_MS);
    assertEquals(
        lost, d.w.cloud.tasksKilledByLease() + d.w.cloud.tasksKilledByRelease(), "tasks killed");
    SeededDaysTest.settle(d.w);
  }

  /** Whatever a relay suffers, its workers find another way before their leases end. */
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
  void aRelayInTroubleCostsNoTask(long seed, String trouble) {
    Day d = new Day(seed);
    SimulatedCluster.ControllerNode relay = d.follower();
    int lost = d.w.cloud.tasksKilledByLease() + d.w.cloud.tasksKilledByRelease();
    long ms = 2 * SimulatedCluster.LEASE_MS;
    switch (trouble) {
      case "ends" -> relay.crash(ms);
      case "ends and returns at once" -> relay.crash(80);
      case "stands still" -> relay.freeze(ms);
      case "loses its peers and the state service" ->
          new RandomFaults(d.w).isolateFromPeersAndState(relay, true, ms);
      case "loses its workers" -> {
        List<String> machines =
            d.w.cloud.machines().stream().map(EmulatedWorker::endpoint).toList();
        for (String m : machines) {
          for (String own :
              List.of("node-" + relay.index, SimulatedCluster.clientAddress(relay.index))) {
            d.w.network.cut(own, m, true);
            d.w.sim.after(ms, () -> d.w.network.heal(own, m));
          }
        }
      }
      case "loses the leader alone" -> {
        String leader = "node-" + d.w.leader().index;
        d.w.network.cut("node-" + relay.index, leader, true);
        d.w.sim.after(ms, () -> d.w.network.heal("node-" + relay.index, leader));
      }
      default -> {
        d.w.leader().crash(2000);
        relay.crash(2000);
      }
    }
    SimulatedUsers.KnownJob array = d.w.users.submitArray("one", "high", 20, 5);
    d.w.run(ms);
    assertEquals(
        lost, d.w.cloud.tasksKilledByLease() + d.w.cloud.tasksKilledByRelease(), "tasks killed");
    assertTrue(array.done, "an array is not done meanwhile");
    d.w.run(SETTLED_MS);
    assertTrue(trouble.contains("leader") || d.at(relay) > 0, "nobody reports to it again");
    SeededDaysTest.settle(d.w);
  }

  /**
   * Commands lie in the buffers of a relay that stands still, the leader changes meanwhile and jobs
   * are cancelled; then all of them are delivered late.
   */
  @ParameterizedTest(name = "seed {0}, the relay stands still for {1} ms")
  @CsvSource({"9731,1500", "9732,4000", "9733,9000", "9734,16000", "9735,40000"})
  void commandsAreDeliveredLate(long seed, long ms) {
    Day d = new Day(seed);
    SimulatedCluster.ControllerNode leader = d.w.leader();
    SimulatedCluster.ControllerNode relay = d.follower();
    List<SimulatedUsers.KnownJob> jobs =
        List.of(
            d.w.users.submitArray("one", "high", 30, 60),
            d.w.users.submitArray("two", "high", 30, 60),
            d.w.users.submitService("one", 3));
    d.w.run(SimulatedCluster.REPORT_INTERVAL_MS / 2);
    relay.freeze(ms);
    d.w.run(SimulatedCluster.REPORT_INTERVAL_MS / 2);
    jobs.forEach(d.w.users::cancel);
    d.w.run(200);
    leader.crash(3000);
    d.w.run(ms + SimulatedCluster.CANCEL_DEADLINE_MS);
    assertNotEquals(null, d.w.leader(), "nobody leads");
    SeededDaysTest.settle(d.w);
  }

  /** As {@link FaultCombinationTest}, with connections spread. */
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
