package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * All controllers end in an outage of the state service, so that none remembers which jobs were
 * cancelled. Machines that hang past their lease with cancelled tasks are returned in time; other
 * machines are kept.
 */
class ForgottenMachinesTest {
  private static final long LONG_MS = SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2;

  private static SimulatedCluster crashAllInAnOutage(long seed) {
    SimulatedCluster cluster = new CancellationOutageTest.Scenario(seed).cluster;
    cluster.state.beginOutage();
    cluster.nodes.forEach(n -> n.crash(1000));
    return cluster;
  }

  /** Lets the outage last and recovers; the invariant checker checks {@code ran_cancelled}. */
  private static void runOutageAndRecover(SimulatedCluster cluster) {
    cluster.run(LONG_MS);
    recover(cluster);
  }

  private static void recover(SimulatedCluster cluster) {
    cluster.state.endOutage();
    cluster.run(90_000);
    SeededDaysTest.settle(cluster);
  }

  /** Guards against cancelled tasks that keep running because one controller stays down. */
  @ParameterizedTest(name = "seed {0}, end after {1} ms")
  @CsvSource({"12301,100", "12302,3000", "12303,9000", "12304,15000"})
  void oneControllerStaysAway(long seed, long crashAfterMs) {
    CancellationOutageTest.Scenario scenario = ManyLeadersTest.cancelledOnHangingMachines(seed);
    SimulatedCluster cluster = scenario.cluster;
    cluster.run(crashAfterMs);
    cluster.nodes.forEach(n -> n.crash(n == scenario.third ? LONG_MS : 1000));
    runOutageAndRecover(cluster);
  }

  /** Guards against cancelled tasks that keep running because one controller cannot be asked. */
  @ParameterizedTest(name = "seed {0}, end after {1} ms")
  @CsvSource({"12311,100", "12312,3000", "12313,9000", "12314,15000"})
  void oneControllerIsCutOff(long seed, long crashAfterMs) {
    CancellationOutageTest.Scenario scenario = ManyLeadersTest.cancelledOnHangingMachines(seed);
    SimulatedCluster cluster = scenario.cluster;
    cluster.run(crashAfterMs);
    cluster.cutOff(scenario.third, m -> false, false, LONG_MS);
    cluster.nodes.forEach(n -> n.crash(1000));
    runOutageAndRecover(cluster);
  }

  /** Guards against cancelled tasks that keep running because most machines hang. */
  @ParameterizedTest(name = "seed {0}, end after {1} ms")
  @CsvSource({"12321,100", "12322,3000", "12323,9000", "12324,15000"})
  void mostMachinesHang(long seed, long crashAfterMs) {
    CancellationOutageTest.Scenario scenario = ManyLeadersTest.cancelledOnHangingMachines(seed);
    SimulatedCluster cluster = scenario.cluster;
    int i = 0;
    for (EmulatedWorker m : List.copyOf(cluster.cloud.machines())) {
      if (!m.isGone() && i++ % 4 != 0) {
        m.stall(LONG_MS);
      }
    }
    cluster.run(crashAfterMs);
    cluster.nodes.forEach(n -> n.crash(1000));
    runOutageAndRecover(cluster);
  }

  /**
   * Guards against cancelled tasks that keep running on machines that the cloud lists as booting.
   */
  @ParameterizedTest(name = "seed {0}, end after {1} ms")
  @CsvSource({"12331,0", "12332,500", "12333,2000", "12334,4000"})
  void aMachineIsListedAsBooting(long seed, long crashAfterMs) {
    CancellationOutageTest.Scenario scenario = new CancellationOutageTest.Scenario(seed);
    SimulatedCluster cluster = scenario.cluster;
    // The job needs more than the free capacity, so that machines are rented for it.
    SimulatedUsers.KnownJob job = cluster.users.submitArray("one", "high", 12, 150);
    for (int i = 0; i < 300 && scenario.running(job) < 3; i++) {
      cluster.run(100);
    }
    assertTrue(scenario.running(job) > 0, "the job does not run");
    cluster.users.cancelAt(job, scenario.oldLeader);
    for (EmulatedWorker m : List.copyOf(cluster.cloud.machines())) {
      if (!m.isGone() && m.tasks().stream().anyMatch(t -> t.key().startsWith(job.ref + "/"))) {
        m.stall(LONG_MS);
      }
    }
    cluster.run(500);
    cluster.state.beginOutage();
    cluster.run(crashAfterMs);
    cluster.nodes.forEach(n -> n.crash(1000));
    runOutageAndRecover(cluster);
  }

  /** Guards against returning machines that report, however little else works. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {12341, 12342, 12343, 12344})
  void machinesThatReportAreKept(long seed) {
    SimulatedCluster cluster = crashAllInAnOutage(seed);
    long rentedBefore = countRentedMachines(cluster);
    cluster.run(LONG_MS);
    assertEquals(rentedBefore, countRentedMachines(cluster), "rented machines");
    recover(cluster);
  }

  /**
   * Guards against returning many machines whose reports are lost for only a quarter of a lease.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {12351, 12352, 12353, 12354})
  void machinesSilentForAWhileAreKept(long seed) {
    SimulatedCluster cluster = crashAllInAnOutage(seed);
    cluster.run(SimulatedCluster.LEASE_MS);
    long rentedBefore = countRentedMachines(cluster);
    int i = 0;
    for (EmulatedWorker m : List.copyOf(cluster.cloud.machines())) {
      if (!m.isGone() && i++ % 4 != 0) {
        m.cutOutbound(SimulatedCluster.LEASE_MS / 4);
      }
    }
    cluster.run(SimulatedCluster.LEASE_MS);
    long returnedMachines = rentedBefore - countRentedMachines(cluster);
    assertTrue(
        10 * returnedMachines <= rentedBefore,
        returnedMachines + " of " + rentedBefore + " machines were returned");
    recover(cluster);
  }

  /**
   * Guards against returning the machines of a zone that is cut off together with a controller that
   * knows their state.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {12361, 12362, 12363, 12364})
  void aZoneCutOffWithItsControllerIsKept(long seed) {
    CancellationOutageTest.Scenario scenario = new CancellationOutageTest.Scenario(seed);
    SimulatedCluster cluster = scenario.cluster;
    SimulatedCluster.ControllerNode inside = cluster.nodes.get(1);
    String zone = inside.settings.zone();
    cluster.state.beginOutage();
    cluster.cutZone(zone, false, LONG_MS);
    cluster.nodes.stream().filter(n -> n != inside).forEach(n -> n.crash(1000));
    long rentedBefore = countRentedMachines(cluster, zone);
    assertTrue(rentedBefore > 0, "no machine is rented in the zone");
    cluster.run(LONG_MS);
    assertEquals(rentedBefore, countRentedMachines(cluster, zone), "rented machines");
    recover(cluster);
  }

  private static long countRentedMachines(SimulatedCluster cluster) {
    return cluster.cloud.machines().stream().filter(m -> !m.isGone()).count();
  }

  private static long countRentedMachines(SimulatedCluster cluster, String zone) {
    return cluster.cloud.machines().stream()
        .filter(m -> !m.isGone() && m.zone().equals(zone))
        .count();
  }
}
