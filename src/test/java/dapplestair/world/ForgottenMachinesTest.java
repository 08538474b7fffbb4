package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * All controllers end in an outage, so that nobody remembers what was cancelled: machines that hang
 * past their lease with cancelled tasks are returned in time, and others are kept.
 */
class ForgottenMachinesTest {
  private static final long LONG_MS = SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2;

  private static SimulatedCluster allEndInAnOutage(long seed) {
    SimulatedCluster w = new CancellationOutageTest.Day(seed).w;
    w.state.beginOutage();
    w.nodes.forEach(n -> n.crash(1000));
    return w;
  }

  /** The outage goes on, then all calms down; the checker looks at {@code ran_cancelled}. */
  private static void outlast(SimulatedCluster w) {
    w.run(LONG_MS);
    calmDown(w);
  }

  private static void calmDown(SimulatedCluster w) {
    w.state.endOutage();
    w.run(90_000);
    SeededDaysTest.settle(w);
  }

  /** Guards against cancelled tasks that live on since one controller stays away. */
  @ParameterizedTest(name = "seed {0}, end after {1} ms")
  @CsvSource({"12301,100", "12302,3000", "12303,9000", "12304,15000"})
  void oneControllerStaysAway(long seed, long endMs) {
    CancellationOutageTest.Day d = ManyLeadersTest.cancelledOnHangingMachines(seed);
    SimulatedCluster w = d.w;
    w.run(endMs);
    w.nodes.forEach(n -> n.crash(n == d.third ? LONG_MS : 1000));
    outlast(w);
  }

  /** Guards against cancelled tasks that live on since one controller cannot be asked. */
  @ParameterizedTest(name = "seed {0}, end after {1} ms")
  @CsvSource({"12311,100", "12312,3000", "12313,9000", "12314,15000"})
  void oneControllerIsCutOff(long seed, long endMs) {
    CancellationOutageTest.Day d = ManyLeadersTest.cancelledOnHangingMachines(seed);
    SimulatedCluster w = d.w;
    w.run(endMs);
    w.cutOff(d.third, m -> false, false, LONG_MS);
    w.nodes.forEach(n -> n.crash(1000));
    outlast(w);
  }

  /** Guards against cancelled tasks that live on since most machines hang. */
  @ParameterizedTest(name = "seed {0}, end after {1} ms")
  @CsvSource({"12321,100", "12322,3000", "12323,9000", "12324,15000"})
  void mostMachinesHang(long seed, long endMs) {
    CancellationOutageTest.Day d = ManyLeadersTest.cancelledOnHangingMachines(seed);
    SimulatedCluster w = d.w;
    int i = 0;
    for (EmulatedWorker m : List.copyOf(w.cloud.machines())) {
      if (!m.isGone() && i++ % 4 != 0) {
        m.stall(LONG_MS);
      }
    }
    w.run(endMs);
    w.nodes.forEach(n -> n.crash(1000));
    outlast(w);
  }

  /** Guards against cancelled tasks on machines that the cloud's list shows as booting. */
  @ParameterizedTest(name = "seed {0}, end after {1} ms")
  @CsvSource({"12331,0", "12332,500", "12333,2000", "12334,4000"})
  void aMachineIsListedAsBooting(long seed, long endMs) {
    CancellationOutageTest.Day d = new CancellationOutageTest.Day(seed);
    SimulatedCluster w = d.w;
    // More than fits, so that machines are rented for it.
    SimulatedUsers.KnownJob job = w.users.submitArray("one", "high", 12, 150);
    for (int i = 0; i < 300 && d.running(job) < 3; i++) {
      w.run(100);
    }
    assertTrue(d.running(job) > 0, "it does not run");
    w.users.cancelAt(job, d.old);
    for (EmulatedWorker m : List.copyOf(w.cloud.machines())) {
      if (!m.isGone() && m.tasks().stream().anyMatch(t -> t.key().startsWith(job.ref + "/"))) {
        m.stall(LONG_MS);
      }
    }
    w.run(500);
    w.state.beginOutage();
    w.run(endMs);
    w.nodes.forEach(n -> n.crash(1000));
    outlast(w);
  }

  /** Guards against machines returned that report, however little else works. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {12341, 12342, 12343, 12344})
  void machinesThatReportAreKept(long seed) {
    SimulatedCluster w = allEndInAnOutage(seed);
    long before = held(w);
    w.run(LONG_MS);
    assertEquals(before, held(w), "machines");
    calmDown(w);
  }

  /** Guards against machines returned in numbers that are only mute for a quarter of a lease. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {12351, 12352, 12353, 12354})
  void machinesSilentForAWhileAreKept(long seed) {
    SimulatedCluster w = allEndInAnOutage(seed);
    w.run(SimulatedCluster.LEASE_MS);
    long before = held(w);
    int i = 0;
    for (EmulatedWorker m : List.copyOf(w.cloud.machines())) {
      if (!m.isGone() && i++ % 4 != 0) {
        m.cutOutbound(SimulatedCluster.LEASE_MS / 4);
      }
    }
    w.run(SimulatedCluster.LEASE_MS);
    long returned = before - held(w);
    assertTrue(10 * returned <= before, returned + " of " + before + " machines are returned");
    calmDown(w);
  }

  /** Guards against machines returned of a zone that is cut off with a controller that knows. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {12361, 12362, 12363, 12364})
  void aZoneCutOffWithItsControllerIsKept(long seed) {
    CancellationOutageTest.Day d = new CancellationOutageTest.Day(seed);
    SimulatedCluster w = d.w;
    SimulatedCluster.ControllerNode inside = w.nodes.get(1);
    String zone = inside.settings.zone();
    w.state.beginOutage();
    w.cutZone(zone, false, LONG_MS);
    w.nodes.stream().filter(n -> n != inside).forEach(n -> n.crash(1000));
    long before = held(w, zone);
    assertTrue(before > 0, "no machine in the zone");
    w.run(LONG_MS);
    assertEquals(before, held(w, zone), "machines");
    calmDown(w);
  }

  private static long held(SimulatedCluster w) {
    return w.cloud.machines().stream().filter(m -> !m.isGone()).count();
  }

  private static long held(SimulatedCluster w, String zone) {
    return w.cloud.machines().stream().filter(m -> !m.isGone() && m.zone().equals(zone)).count();
  }
}
