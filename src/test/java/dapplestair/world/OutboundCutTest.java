package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Workers that cannot open connections to any controller, while direct commands reach them.
 * Commands do not renew leases, so what runs there is lost when the lease ends (docs/meetings.md).
 */
class OutboundCutTest {
  private static final int REPLICAS = 72;

  private static SimulatedCluster startCluster(long seed) {
    SimulatedCluster cluster = DisruptionTest.startServices(seed, 5, 5);
    // Tasks lost with a machine are not voluntary disruptions, so no budget applies.
    cluster.checker.teamDisruptionBudget = null;
    return cluster;
  }

  private static EmulatedWorker machineWithMostReplicas(SimulatedCluster cluster) {
    return cluster.cloud.machines().stream()
        .filter(m -> !m.isGone())
        .max(
            Comparator.comparingLong(
                m -> m.tasks().stream().filter(EmulatedTask::isService).count()))
        .orElseThrow();
  }

  private static List<EmulatedWorker> machinesInZone(SimulatedCluster cluster, String zone) {
    return cluster.cloud.machines().stream()
        .filter(m -> !m.isGone() && m.zone().equals(zone))
        .toList();
  }

  private static int startsOn(SimulatedCluster cluster, EmulatedWorker m) {
    return cluster.checker.startsByMachine.getOrDefault(m.id(), 0);
  }

  /**
   * One machine cannot report: from half a lease on no task is started there, its replicas run
   * elsewhere soon after its lease ended, and the machine is returned, once. In some cases the
   * leader crashes meanwhile.
   */
  @ParameterizedTest(name = "seed {0}, the leader ends at second {1}")
  @CsvSource({"5201,-1", "5202,1", "5203,7", "5204,10", "5205,16"})
  void oneMachineCannotReport(long seed, int leaderCrashS) {
    SimulatedCluster cluster = startCluster(seed);
    EmulatedWorker mutedMachine = machineWithMostReplicas(cluster);
    mutedMachine.cutOutbound(4 * SimulatedCluster.LEASE_MS);
    // Tasks of a cancelled job end there as on any machine, since commands reach it.
    cluster.users.jobs.values().stream()
        .filter(t -> mutedMachine.tasks().stream().anyMatch(k -> k.key().startsWith(t.ref + "/")))
        .limit(1)
        .forEach(cluster.users::cancel);
    cluster.users.submitArray("two", "standard", 60, 15);
    if (leaderCrashS >= 0) {
      cluster.sim.after(1000L * leaderCrashS, () -> cluster.leader().crash(2000));
    }
    cluster.run(SimulatedCluster.LEASE_MS * 3 / 4);
    int startsBefore = startsOn(cluster, mutedMachine);
    cluster.run(SimulatedCluster.LEASE_MS);
    assertEquals(
        startsBefore, startsOn(cluster, mutedMachine), "starts on a machine that cannot report");
    assertTrue(
        mutedMachine.isGone(),
        "the machine was not returned, though no lease there can be renewed");
    cluster.run(SimulatedCluster.REPORT_INTERVAL_MS);
    assertEquals(
        REPLICAS - 3, DisruptionTest.countReplicas(cluster), "replicas without the cancelled ones");
  }

  /**
   * Half of all machines cannot report: the machines rented as replacements are up when the leases
   * end.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {5251, 5252, 5253})
  void replacementCapacityIsReadyInTime(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    int i = 0;
    for (EmulatedWorker m : cluster.cloud.machines()) {
      if (i++ % 2 == 0) {
        m.cutOutbound(4 * SimulatedCluster.LEASE_MS);
      }
    }
    cluster.run(SimulatedCluster.LEASE_MS + 2 * SimulatedCluster.REPORT_INTERVAL_MS);
    assertEquals(REPLICAS, DisruptionTest.countReplicas(cluster), "replicas after a lease");
    SeededDaysTest.settle(cluster);
  }

  /** A cut for a third of a lease: no task is lost, and the machine is used again. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {5211, 5212, 5213})
  void aShortCutLosesNothing(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    EmulatedWorker mutedMachine = machineWithMostReplicas(cluster);
    int killedBefore = cluster.cloud.tasksKilledByLease();
    mutedMachine.cutOutbound(SimulatedCluster.LEASE_MS / 3);
    cluster.run(2 * SimulatedCluster.LEASE_MS);
    assertTrue(!mutedMachine.isGone(), "the machine was returned");
    assertEquals(
        killedBefore, cluster.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
  }

  /**
   * All machines of a zone cannot report: the zone is handled as one silent zone, by one decision,
   * and no machine is rented there repeatedly.
   */
  @ParameterizedTest(name = "seed {0}, the leader ends at second {1}")
  @CsvSource({"5221,-1", "5222,3", "5223,12"})
  void aZoneCannotReport(long seed, int leaderCrashS) {
    SimulatedCluster cluster = startCluster(seed);
    int killedBefore = cluster.cloud.tasksKilledByRelease();
    for (long offsetMs = 0; offsetMs < 4 * SimulatedCluster.LEASE_MS; offsetMs += 200) {
      // Machines that boot there meanwhile are muted as well, before they can report: none boots
      // within this time.
      cluster.sim.after(
          offsetMs, () -> machinesInZone(cluster, "c").forEach(m -> m.cutOutbound(3000)));
    }
    if (leaderCrashS >= 0) {
      cluster.sim.after(1000L * leaderCrashS, () -> cluster.leader().crash(2000));
    }
    cluster.run(SimulatedCluster.LEASE_MS * 9 / 10);
    assertEquals(
        killedBefore,
        cluster.cloud.tasksKilledByRelease(),
        "tasks killed by returning single machines");
    if (leaderCrashS < 0) {
      assertEquals("CUT", cluster.state.value("live/zone/c").path("state").asText());
    }
    cluster.run(SimulatedCluster.LEASE_MS * 6 / 5);
    assertEquals(REPLICAS, DisruptionTest.countReplicas(cluster), "replicas without the zone");
    int starts = machinesInZone(cluster, "c").stream().mapToInt(m -> startsOn(cluster, m)).sum();
    cluster.run(SimulatedCluster.LEASE_MS);
    assertEquals(
        starts,
        machinesInZone(cluster, "c").stream().mapToInt(m -> startsOn(cluster, m)).sum(),
        "starts in the zone");
    cluster.run(2 * SimulatedCluster.LEASE_MS);
    SeededDaysTest.settle(cluster);
  }

  /**
   * No worker can connect to the leader, though the leader reaches all workers: another controller
   * has to take over.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {5231, 5232, 5233})
  void aLeaderThatWorkersCannotReachIsReplaced(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    SimulatedCluster.ControllerNode leader = cluster.leader();
    String client = SimulatedCluster.clientAddress(leader.index);
    int killedBefore = cluster.cloud.tasksKilledByLease();
    for (int i = 0; i < 200; i++) {
      cluster.cloud.machines().forEach(m -> cluster.network.cutOneWay(m.endpoint(), client));
      cluster.run(100);
    }
    cluster.cloud.machines().forEach(m -> cluster.network.healOneWay(m.endpoint(), client));
    assertNotEquals(leader, cluster.leader(), "the unreachable controller still leads");
    assertEquals(
        killedBefore, cluster.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
    SeededDaysTest.settle(cluster);
  }

  /**
   * A random share of the machines cannot report, repeatedly, while jobs are submitted and
   * cancelled, commands arrive late and leaders crash.
   */
  @ParameterizedTest(name = "seed {0}, share {1}, late commands {2}")
  @CsvSource({"5241,0.3,0", "5242,0.5,0.3", "5243,0.7,0.2", "5244,1,0", "5245,1,0.3"})
  void randomMachinesCannotReport(long seed, double share, double lateCommandShare) {
    SimulatedCluster cluster =
        new SimulatedCluster(seed, new SimulatedCluster.Size(6, 24, 1000, 6));
    cluster.users.cancelledArrayShare = 0.4;
    cluster.run(20_000);
    for (int i = 0; i < 3; i++) {
      cluster.network.lateCommandProbability = lateCommandShare;
      for (EmulatedWorker m : cluster.cloud.machines()) {
        if (cluster.sim.chance(share)) {
          m.cutOutbound(
              cluster.sim.between(SimulatedCluster.LEASE_MS / 2, 3 * SimulatedCluster.LEASE_MS));
        }
      }
      cluster.run(cluster.sim.between(2000, 2 * SimulatedCluster.LEASE_MS));
      if (cluster.leader() != null) {
        cluster.leader().crash(cluster.sim.between(500, 4000));
      }
      cluster.run(SimulatedCluster.LEASE_MS);
      cluster.network.lateCommandProbability = 0;
    }
    cluster.run(3 * SimulatedCluster.LEASE_MS);
    SeededDaysTest.settle(cluster);
  }
}
