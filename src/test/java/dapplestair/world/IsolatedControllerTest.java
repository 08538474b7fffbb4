package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Controllers that lose the state service and each other, but not their workers, and processes that
 * are back within a fraction of a second (docs/known.md).
 */
class IsolatedControllerTest {
  private static final long LONG_MS = 2 * SimulatedCluster.LEASE_MS;

  private static SimulatedCluster begun(long seed) {
    SimulatedCluster w = DisruptionTest.begun(seed, 5, 5);
    w.checker.teamDisruptionBudget = null;
    return w;
  }

  private static int up(SimulatedCluster w, SimulatedCluster.ControllerNode node) {
    int[] status = {0};
    w.network.call(
        "balancer",
        SimulatedCluster.clientAddress(node.index),
        "GET",
        "/up",
        null,
        1000,
        r -> status[0] = r.status());
    w.run(1000);
    return status[0];
  }

  /** Another one leads, workers go over to it with all that they run, and users are sent away. */
  @ParameterizedTest(name = "seed {0}, {1} of them led, held back: {2}")
  @CsvSource({"6201,1,false", "6202,1,true", "6203,0,false", "6204,0,true", "6205,1,false"})
  void aLoneControllerLetsGo(long seed, int led, boolean hold) {
    SimulatedCluster w = begun(seed);
    SimulatedCluster.ControllerNode leader = w.leader();
    SimulatedCluster.ControllerNode lone = led > 0 ? leader : w.nodes.get((leader.index + 1) % 3);
    int killed = w.cloud.tasksKilledByLease();
    new RandomFaults(w).isolateFromPeersAndState(lone, hold, LONG_MS);
    SimulatedUsers.KnownJob job = w.users.submitArray("one", "high", 20, 5);
    w.run(SimulatedCluster.LEASE_MS / 2);
    assertNotEquals(lone, w.leader(), "it cannot lead");
    assertEquals(503, up(w, lone), "users go on coming to it");
    int beats = lone.reportsReceived;
    w.run(SimulatedCluster.LEASE_MS);
    assertTrue(
        lone.reportsReceived - beats <= 5,
        lone.reportsReceived - beats + " reports went on coming to it");
    w.run(LONG_MS - SimulatedCluster.LEASE_MS);
    assertEquals(killed, w.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
    assertTrue(job.done, "the array is not done");
    SimulatedCluster.ControllerNode leads = w.leader();
    w.run(SimulatedCluster.LEASE_MS);
    assertEquals(leads, w.leader(), "its return changes who leads");
    assertEquals(200, up(w, lone), "it is back");
    SeededDaysTest.settle(w);
  }

  /** Two at once, one of which led; the third one leads alone. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6211, 6212, 6213})
  void twoAtOnce(long seed) {
    SimulatedCluster w = begun(seed);
    SimulatedCluster.ControllerNode leader = w.leader();
    RandomFaults faults = new RandomFaults(w);
    faults.isolateFromPeersAndState(leader, false, LONG_MS);
    faults.isolateFromPeersAndState(w.nodes.get((leader.index + 1) % 3), true, LONG_MS);
    int killed = w.cloud.tasksKilledByLease();
    w.run(LONG_MS);
    assertEquals(w.nodes.get((leader.index + 2) % 3), w.leader());
    assertEquals(killed, w.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
    SeededDaysTest.settle(w);
  }

  /** An outage of all is no reason to send users away: they are told when to come back. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6221, 6222})
  void anOutageOfAllIsNone(long seed) {
    SimulatedCluster w = begun(seed);
    w.state.beginOutage();
    w.run(SimulatedCluster.LEASE_MS / 2);
    w.nodes.forEach(n -> assertEquals(200, up(w, n), "nobody is left to tell users"));
    w.state.endOutage();
    SeededDaysTest.settle(w);
  }

  /** Back within a fraction of a second, in the middle of an election, twice, two or three. */
  @ParameterizedTest(name = "seed {0}, {1} at once")
  @CsvSource({
    "6231,1", "6232,2", "6233,3", "6234,1", "6235,2", "6236,3", "6237,2", "6238,3", "6239,3"
  })
  void backAtOnce(long seed, int atOnce) {
    SimulatedCluster w = begun(seed);
    int killed = w.cloud.tasksKilledByLease();
    for (int round = 0; round < 4; round++) {
      for (int twice = 0; twice < 2; twice++) {
        int first = w.leader() == null ? 0 : w.leader().index;
        for (int i = 0; i < atOnce; i++) {
          w.nodes.get((first + i) % 3).crash(w.sim.between(50, 600));
        }
        w.run(w.sim.between(100, 1200));
      }
      long without = 0;
      while (w.leader() == null || !w.leader().isUp()) {
        w.run(100);
        without += 100;
        // A hold and two report intervals.
        assertTrue(
            without <= SimulatedCluster.LEASE_MS / 10 + 2 * SimulatedCluster.REPORT_INTERVAL_MS,
            "nobody leads");
      }
      w.run(4000);
    }
    assertEquals(killed, w.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
    SeededDaysTest.settle(w);
  }
}
