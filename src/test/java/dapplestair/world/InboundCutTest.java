package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Heard is not reached: machines whose reports arrive while nothing reaches them, and copies of
 * reports that come late (docs/known.md).
 */
class InboundCutTest {
  private static final int REPLICAS = 72;

  private static SimulatedCluster begun(long seed) {
    SimulatedCluster w = DisruptionTest.begun(seed, 5, 5);
    // What is lost with a machine is no choice.
    w.checker.teamDisruptionBudget = null;
    return w;
  }

  private static void end(SimulatedCluster w, String who) {
    if (w.leader() != null) {
      switch (who) {
        case "leader" -> w.leader().crash(2000);
        case "follower" -> w.nodes.get((w.leader().index + 1) % 3).crash(2000);
        default -> {}
      }
    }
  }

  private static long live(EmulatedWorker m) {
    return m.tasks().stream().filter(EmulatedTask::isOnMachine).count();
  }

  /** The machine with most replicas. */
  private static EmulatedWorker withReplicas(SimulatedCluster w) {
    return w.cloud.machines().stream()
        .filter(m -> !m.isGone())
        .max(
            Comparator.comparingLong(
                m -> m.tasks().stream().filter(EmulatedTask::isService).count()))
        .orElseThrow();
  }

  /** Nothing more is launched there, and its replicas serve elsewhere before its lease ends. */
  @ParameterizedTest(name = "seed {0}, the {1} ends at second {2}")
  @CsvSource({
    "6101,nobody,0",
    "6102,leader,1",
    "6103,leader,9",
    "6104,follower,4",
    "6105,leader,14"
  })
  void aDeafMachineIsNotUsed(long seed, String who, int second) {
    SimulatedCluster w = begun(seed);
    EmulatedWorker deaf = withReplicas(w);
    assertTrue(live(deaf) > 0, "nothing runs there");
    deaf.cutInbound(3 * SimulatedCluster.LEASE_MS);
    w.users.submitArray("two", "standard", 60, 15);
    w.run(2 * SimulatedCluster.REPORT_INTERVAL_MS);
    int before = w.checker.startsByMachine.getOrDefault(deaf.id(), 0);
    w.run(1000L * second);
    end(w, who);
    w.run(SimulatedCluster.LEASE_MS);
    assertEquals(
        before,
        w.checker.startsByMachine.getOrDefault(deaf.id(), 0),
        "starts where nothing arrives");
    w.run(SimulatedCluster.REPORT_INTERVAL_MS);
    assertEquals(REPLICAS, DisruptionTest.replicas(w), "replicas a lease later");
    assertTrue(deaf.isGone(), "it is still paid for, though it stays deaf");
  }

  /** Deaf for a moment: nothing is lost, and it is used again. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6111, 6112, 6113})
  void aMomentCostsNothing(long seed) {
    SimulatedCluster w = begun(seed);
    EmulatedWorker deaf = withReplicas(w);
    deaf.cutInbound(SimulatedCluster.REPORT_INTERVAL_MS);
    w.run(SimulatedCluster.LEASE_MS);
    assertTrue(
        !deaf.isGone() && deaf.sinceAnsweredReportMs() < 2 * SimulatedCluster.REPORT_INTERVAL_MS,
        "it was given up");
    assertEquals(0, w.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
  }

  /** A whole zone: decided once, as one that is silent, and not machine by machine. */
  @ParameterizedTest(name = "seed {0}, the {1} ends at second {2}")
  @CsvSource({"6121,nobody,0", "6122,leader,3", "6123,leader,10", "6124,follower,6"})
  void aDeafZoneIsASilentOne(long seed, String who, int second) {
    SimulatedCluster w = begun(seed);
    List<EmulatedWorker> zone =
        w.cloud.machines().stream().filter(m -> !m.isGone() && m.zone().equals("c")).toList();
    zone.forEach(m -> m.cutInbound(SimulatedCluster.LEASE_MS * 2 / 3));
    w.run(1000L * second);
    end(w, who);
    w.run(SimulatedCluster.LEASE_MS * 2 / 3 - 1000L * second);
    assertEquals(0, zone.stream().filter(EmulatedWorker::isGone).count(), "returned one by one");
    w.run(SimulatedCluster.LEASE_MS);
    assertEquals(REPLICAS, DisruptionTest.replicas(w), "replicas once it hears again");
    SeededDaysTest.settle(w);
  }

  /**
   * Deaf for as long as a lease: what runs there is given up as a whole and once, when its leases
   * are over, though its machines report all the time.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6125, 6126, 6127})
  void aDeafZoneIsDecidedOnce(long seed) {
    SimulatedCluster w = begun(seed);
    List<EmulatedWorker> zone =
        w.cloud.machines().stream().filter(m -> !m.isGone() && m.zone().equals("c")).toList();
    zone.forEach(m -> m.cutInbound(4 * SimulatedCluster.LEASE_MS));
    w.run(SimulatedCluster.LEASE_MS * 9 / 10);
    assertEquals(0, zone.stream().filter(EmulatedWorker::isGone).count(), "returned one by one");
    assertEquals("CUT", w.state.value("live/zone/c").path("state").asText());
    w.run(SimulatedCluster.LEASE_MS * 3 / 2);
    assertEquals(REPLICAS, DisruptionTest.replicas(w), "replicas without the zone");
    assertEquals(1, w.state.value("live/zone/c").path("cuts").asInt(), "cuts on record");
  }

  /** Copies of everything, late by up to two leases, while leaders end. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6131, 6132, 6133, 6134, 6135, 6136})
  void copiesComeLate(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed);
    w.network.copyProbability = 0.3;
    w.network.maxCopyDelayMs = 2 * SimulatedCluster.LEASE_MS;
    for (int i = 0; i < 8; i++) {
      w.run(12_000 + w.sim.between(0, 8000));
      if (w.leader() != null && i % 2 == 0) {
        w.leader().crash(w.sim.between(100, 5000));
      } else if (!w.cloud.machines().isEmpty()) {
        List<EmulatedWorker> up = w.cloud.machines().stream().filter(m -> !m.isGone()).toList();
        up.get((int) w.sim.between(0, up.size() - 1)).powerOff();
      }
    }
    SeededDaysTest.settle(w);
  }

  /** A zone has no power any more; copies of what it once said go on for well over a lease. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6141, 6142, 6143})
  void copiesAreNoSignOfLife(long seed) {
    SimulatedCluster w = begun(seed);
    w.network.copyProbability = 0.5;
    w.network.maxCopyDelayMs = 2 * SimulatedCluster.LEASE_MS;
    w.run(SimulatedCluster.LEASE_MS);
    w.network.copyProbability = 0;
    w.cloud.machines().stream().filter(m -> m.zone().equals("c")).forEach(EmulatedWorker::powerOff);
    w.run(3000);
    w.leader().crash(2000);
    // As without copies: silence is judged after two reports, and the cloud needs its time.
    // As without copies: silence is judged, the cloud takes its time, and the last ones boot.
    w.run(SimulatedCluster.LEASE_MS * 5 / 4);
    assertEquals(REPLICAS, DisruptionTest.replicas(w), "replicas without the zone");
    SeededDaysTest.settle(w);
  }
}
