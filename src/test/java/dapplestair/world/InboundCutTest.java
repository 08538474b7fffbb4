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
 * A machine that is heard need not be reachable: tests machines whose reports arrive while nothing
 * reaches them, and delayed copies of reports (docs/known.md).
 */
class InboundCutTest {
  private static final int REPLICAS = 72;

  private static SimulatedCluster startServices(long seed) {
    SimulatedCluster cluster = DisruptionTest.startServices(seed, 5, 5);
    // Replicas lost with a machine are not deliberate stops.
    cluster.checker.teamDisruptionBudget = null;
    return cluster;
  }

  private static void crashController(SimulatedCluster cluster, String role) {
    if (cluster.leader() != null) {
      switch (role) {
        case "leader" -> cluster.leader().crash(2000);
        case "follower" -> cluster.nodes.get((cluster.leader().index + 1) % 3).crash(2000);
        default -> {}
      }
    }
  }

  private static long countRunningTasks(EmulatedWorker m) {
    return m.tasks().stream().filter(EmulatedTask::isOnMachine).count();
  }

  /** Returns the machine with the most replicas. */
  private static EmulatedWorker machineWithMostReplicas(SimulatedCluster cluster) {
    return cluster.cloud.machines().stream()
        .filter(m -> !m.isGone())
        .max(
            Comparator.comparingLong(
                m -> m.tasks().stream().filter(EmulatedTask::isService).count()))
        .orElseThrow();
  }

  /**
   * No more tasks are launched on a machine that receives nothing, and its replicas run elsewhere
   * before its lease ends.
   */
  @ParameterizedTest(name = "seed {0}, the {1} ends at second {2}")
  @CsvSource({
    "6101,nobody,0",
    "6102,leader,1",
    "6103,leader,9",
    "6104,follower,4",
    "6105,leader,14"
  })
  void aMachineThatReceivesNothingIsNotUsed(long seed, String role, int crashSecond) {
    SimulatedCluster cluster = startServices(seed);
    EmulatedWorker cutOffMachine = machineWithMostReplicas(cluster);
    assertTrue(countRunningTasks(cutOffMachine) > 0, "no task runs on the machine");
    cutOffMachine.cutInbound(3 * SimulatedCluster.LEASE_MS);
    cluster.users.submitArray("two", "standard", 60, 15);
    cluster.run(2 * SimulatedCluster.REPORT_INTERVAL_MS);
    int startsBefore = cluster.checker.startsByMachine.getOrDefault(cutOffMachine.id(), 0);
    cluster.run(1000L * crashSecond);
    crashController(cluster, role);
    cluster.run(SimulatedCluster.LEASE_MS);
    assertEquals(
        startsBefore,
        cluster.checker.startsByMachine.getOrDefault(cutOffMachine.id(), 0),
        "starts on a machine that receives nothing");
    cluster.run(SimulatedCluster.REPORT_INTERVAL_MS);
    assertEquals(REPLICAS, DisruptionTest.countReplicas(cluster), "running replicas a lease later");
    assertTrue(
        cutOffMachine.isGone(), "the machine is still rented, though it still receives nothing");
  }

  /** A machine that receives nothing for one report interval loses no tasks and stays in use. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6111, 6112, 6113})
  void aShortInboundCutLosesNothing(long seed) {
    SimulatedCluster cluster = startServices(seed);
    EmulatedWorker cutOffMachine = machineWithMostReplicas(cluster);
    cutOffMachine.cutInbound(SimulatedCluster.REPORT_INTERVAL_MS);
    cluster.run(SimulatedCluster.LEASE_MS);
    assertTrue(
        !cutOffMachine.isGone()
            && cutOffMachine.sinceAnsweredReportMs() < 2 * SimulatedCluster.REPORT_INTERVAL_MS,
        "the machine was given up");
    assertEquals(0, cluster.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
  }

  /**
   * If a whole zone receives nothing, the zone is decided on once, like a silent zone, and not
   * machine by machine.
   */
  @ParameterizedTest(name = "seed {0}, the {1} ends at second {2}")
  @CsvSource({"6121,nobody,0", "6122,leader,3", "6123,leader,10", "6124,follower,6"})
  void aZoneThatReceivesNothingIsTreatedAsSilent(long seed, String role, int crashSecond) {
    SimulatedCluster cluster = startServices(seed);
    List<EmulatedWorker> zoneMachines =
        cluster.cloud.machines().stream().filter(m -> !m.isGone() && m.zone().equals("c")).toList();
    zoneMachines.forEach(m -> m.cutInbound(SimulatedCluster.LEASE_MS * 2 / 3));
    cluster.run(1000L * crashSecond);
    crashController(cluster, role);
    cluster.run(SimulatedCluster.LEASE_MS * 2 / 3 - 1000L * crashSecond);
    assertEquals(
        0,
        zoneMachines.stream().filter(EmulatedWorker::isGone).count(),
        "machines returned one by one");
    cluster.run(SimulatedCluster.LEASE_MS);
    assertEquals(
        REPLICAS,
        DisruptionTest.countReplicas(cluster),
        "running replicas after the zone is reachable again");
    SeededDaysTest.settle(cluster);
  }

  /**
   * A zone receives nothing for longer than a lease: its tasks are given up as a whole and once,
   * when their leases have ended, although its machines report all the time.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6125, 6126, 6127})
  void aZoneThatReceivesNothingIsGivenUpOnce(long seed) {
    SimulatedCluster cluster = startServices(seed);
    List<EmulatedWorker> zoneMachines =
        cluster.cloud.machines().stream().filter(m -> !m.isGone() && m.zone().equals("c")).toList();
    zoneMachines.forEach(m -> m.cutInbound(4 * SimulatedCluster.LEASE_MS));
    cluster.run(SimulatedCluster.LEASE_MS * 9 / 10);
    assertEquals(
        0,
        zoneMachines.stream().filter(EmulatedWorker::isGone).count(),
        "machines returned one by one");
    assertEquals("CUT", cluster.state.value("live/zone/c").path("state").asText());
    cluster.run(SimulatedCluster.LEASE_MS * 3 / 2);
    assertEquals(
        REPLICAS, DisruptionTest.countReplicas(cluster), "running replicas without the zone");
    assertEquals(1, cluster.state.value("live/zone/c").path("cuts").asInt(), "cuts on record");
  }

  /**
   * All messages may arrive again as copies, up to two leases late, while leaders and machines end.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6131, 6132, 6133, 6134, 6135, 6136})
  void delayedCopiesOfMessages(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.network.copyProbability = 0.3;
    cluster.network.maxCopyDelayMs = 2 * SimulatedCluster.LEASE_MS;
    for (int i = 0; i < 8; i++) {
      cluster.run(12_000 + cluster.sim.between(0, 8000));
      if (cluster.leader() != null && i % 2 == 0) {
        cluster.leader().crash(cluster.sim.between(100, 5000));
      } else if (!cluster.cloud.machines().isEmpty()) {
        List<EmulatedWorker> up =
            cluster.cloud.machines().stream().filter(m -> !m.isGone()).toList();
        up.get((int) cluster.sim.between(0, up.size() - 1)).powerOff();
      }
    }
    SeededDaysTest.settle(cluster);
  }

  /** A zone loses its power while copies of its earlier reports arrive for well over a lease. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6141, 6142, 6143})
  void delayedCopiesOfReportsDoNotShowLiveness(long seed) {
    SimulatedCluster cluster = startServices(seed);
    cluster.network.copyProbability = 0.5;
    cluster.network.maxCopyDelayMs = 2 * SimulatedCluster.LEASE_MS;
    cluster.run(SimulatedCluster.LEASE_MS);
    cluster.network.copyProbability = 0;
    cluster.cloud.machines().stream()
        .filter(m -> m.zone().equals("c"))
        .forEach(EmulatedWorker::powerOff);
    cluster.run(3000);
    cluster.leader().crash(2000);
    // The bound is the same as without copies: silence is decided on after two reports, the cloud
    // takes its time, and the last machines have to boot.
    cluster.run(SimulatedCluster.LEASE_MS * 5 / 4);
    assertEquals(
        REPLICAS, DisruptionTest.countReplicas(cluster), "running replicas without the zone");
    SeededDaysTest.settle(cluster);
  }
}
