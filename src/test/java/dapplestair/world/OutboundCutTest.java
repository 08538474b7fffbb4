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
 * Workers that can't open connections to any controller, while direct commands reach them: these
 * don't renew leases, so what runs there is lost when the lease ends (docs/meetings.md).
 */
class OutboundCutTest {
  private static final int REPLICAS = 72;

  private static SimulatedCluster begun(long seed) {
    SimulatedCluster w = DisruptionTest.startServices(seed, 5, 5);
    // What is lost with a machine is no choice.
    w.checker.teamDisruptionBudget = null;
    return w;
  }

  private static EmulatedWorker busiest(SimulatedCluster w) {
    return w.cloud.machines().stream()
        .filter(m -> !m.isGone())
        .max(
            Comparator.comparingLong(
                m -> m.tasks().stream().filter(EmulatedTask::isService).count()))
        .orElseThrow();
  }

  private static List<EmulatedWorker> inZone(SimulatedCluster w, String zone) {
    return w.cloud.machines().stream().filter(m -> !m.isGone() && m.zone().equals(zone)).toList();
  }

  private static int starts(SimulatedCluster w, EmulatedWorker m) {
    return w.checker.startsByMachine.getOrDefault(m.id(), 0);
  }

  /**
   * From half a lease on nothing more is started there; its replicas serve elsewhere soon after its
   * lease, and it is returned, once. The leader ends meanwhile or does not.
   */
  @ParameterizedTest(name = "seed {0}, the leader ends at second {1}")
  @CsvSource({"5201,-1", "5202,1", "5203,7", "5204,10", "5205,16"})
  void oneMachine(long seed, int second) {
    SimulatedCluster w = begun(seed);
    EmulatedWorker mute = busiest(w);
    mute.cutOutbound(4 * SimulatedCluster.LEASE_MS);
    // A cancelled job's tasks end there like anywhere: commands reach it.
    w.users.jobs.values().stream()
        .filter(t -> mute.tasks().stream().anyMatch(k -> k.key().startsWith(t.ref + "/")))
        .limit(1)
        .forEach(w.users::cancel);
    w.users.submitArray("two", "standard", 60, 15);
    if (second >= 0) {
      w.sim.after(1000L * second, () -> w.leader().crash(2000));
    }
    w.run(SimulatedCluster.LEASE_MS * 3 / 4);
    int before = starts(w, mute);
    w.run(SimulatedCluster.LEASE_MS);
    assertEquals(before, starts(w, mute), "starts on a machine that does not report");
    assertTrue(mute.isGone(), "it is still paid for, though nothing can last there");
    w.run(SimulatedCluster.REPORT_INTERVAL_MS);
    assertEquals(REPLICAS - 3, DisruptionTest.countReplicas(w), "replicas but the cancelled ones");
  }

  /** Half of all machines: what is rented in their place is up when their leases end. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {5251, 5252, 5253})
  void roomIsThereInTime(long seed) {
    SimulatedCluster w = begun(seed);
    int i = 0;
    for (EmulatedWorker m : w.cloud.machines()) {
      if (i++ % 2 == 0) {
        m.cutOutbound(4 * SimulatedCluster.LEASE_MS);
      }
    }
    w.run(SimulatedCluster.LEASE_MS + 2 * SimulatedCluster.REPORT_INTERVAL_MS);
    assertEquals(REPLICAS, DisruptionTest.countReplicas(w), "replicas after a lease");
    SeededDaysTest.settle(w);
  }

  /** For a third of a lease: nothing is lost, and it is used again. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {5211, 5212, 5213})
  void aMomentCostsNothing(long seed) {
    SimulatedCluster w = begun(seed);
    EmulatedWorker mute = busiest(w);
    int killed = w.cloud.tasksKilledByLease();
    mute.cutOutbound(SimulatedCluster.LEASE_MS / 3);
    w.run(2 * SimulatedCluster.LEASE_MS);
    assertTrue(!mute.isGone(), "it was given up");
    assertEquals(killed, w.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
  }

  /** A zone: decided once, as one that is silent; nothing is rented there again and again. */
  @ParameterizedTest(name = "seed {0}, the leader ends at second {1}")
  @CsvSource({"5221,-1", "5222,3", "5223,12"})
  void aZone(long seed, int second) {
    SimulatedCluster w = begun(seed);
    int killed = w.cloud.tasksKilledByRelease();
    for (long at = 0; at < 4 * SimulatedCluster.LEASE_MS; at += 200) {
      // Machines that come up there meanwhile are mute as well, before they can report: none boots
      // within this time.
      w.sim.after(at, () -> inZone(w, "c").forEach(m -> m.cutOutbound(3000)));
    }
    if (second >= 0) {
      w.sim.after(1000L * second, () -> w.leader().crash(2000));
    }
    w.run(SimulatedCluster.LEASE_MS * 9 / 10);
    assertEquals(killed, w.cloud.tasksKilledByRelease(), "tasks lost with machines one by one");
    if (second < 0) {
      assertEquals("CUT", w.state.value("live/zone/c").path("state").asText());
    }
    w.run(SimulatedCluster.LEASE_MS * 6 / 5);
    assertEquals(REPLICAS, DisruptionTest.countReplicas(w), "replicas without the zone");
    int starts = inZone(w, "c").stream().mapToInt(m -> starts(w, m)).sum();
    w.run(SimulatedCluster.LEASE_MS);
    assertEquals(
        starts, inZone(w, "c").stream().mapToInt(m -> starts(w, m)).sum(), "starts in the zone");
    w.run(2 * SimulatedCluster.LEASE_MS);
    SeededDaysTest.settle(w);
  }

  /** Only the leader can't be connected to, though it reaches all: another one had better lead. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {5231, 5232, 5233})
  void onlyTheLeaderHearsNothing(long seed) {
    SimulatedCluster w = begun(seed);
    SimulatedCluster.ControllerNode leader = w.leader();
    String client = SimulatedCluster.clientAddress(leader.index);
    int killed = w.cloud.tasksKilledByLease();
    for (int i = 0; i < 200; i++) {
      w.cloud.machines().forEach(m -> w.network.cutOneWay(m.endpoint(), client));
      w.run(100);
    }
    w.cloud.machines().forEach(m -> w.network.healOneWay(m.endpoint(), client));
    assertNotEquals(leader, w.leader(), "it still leads");
    assertEquals(killed, w.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
    SeededDaysTest.settle(w);
  }

  /**
   * Any share of all machines, again and again, while jobs come and are cancelled, commands are
   * late and leaders end.
   */
  @ParameterizedTest(name = "seed {0}, share {1}, late commands {2}")
  @CsvSource({"5241,0.3,0", "5242,0.5,0.3", "5243,0.7,0.2", "5244,1,0", "5245,1,0.3"})
  void shares(long seed, double share, double late) {
    SimulatedCluster w = new SimulatedCluster(seed, new SimulatedCluster.Size(6, 24, 1000, 6));
    w.users.cancelledArrayShare = 0.4;
    w.run(20_000);
    for (int i = 0; i < 3; i++) {
      w.network.lateCommandProbability = late;
      for (EmulatedWorker m : w.cloud.machines()) {
        if (w.sim.chance(share)) {
          m.cutOutbound(
              w.sim.between(SimulatedCluster.LEASE_MS / 2, 3 * SimulatedCluster.LEASE_MS));
        }
      }
      w.run(w.sim.between(2000, 2 * SimulatedCluster.LEASE_MS));
      if (w.leader() != null) {
        w.leader().crash(w.sim.between(500, 4000));
      }
      w.run(SimulatedCluster.LEASE_MS);
      w.network.lateCommandProbability = 0;
    }
    w.run(3 * SimulatedCluster.LEASE_MS);
    SeededDaysTest.settle(w);
  }
}
