package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Jobs are cancelled in the seconds around a leader change: some run, some are being launched, and
 * the last task of some ends at that time.
 */
class HandoverTest {
  /**
   * Cancels the jobs {@code cancelAfterMs} after the change begins; a negative value is before it.
   */
  @ParameterizedTest(name = "seed {0}, {1}, cancelled at {2} ms")
  @CsvSource({
    "11101,PLANNED,-400",
    "11102,PLANNED,-5",
    "11103,PLANNED,0",
    "11104,PLANNED,5",
    "11105,PLANNED,100",
    "11106,PLANNED,1700",
    "11107,CRASH,-30",
    "11108,CRASH,0",
    "11109,CRASH,30",
    "11110,CRASH,400",
    "11111,CRASH,3000",
    "11112,BACK_AT_ONCE,-30",
    "11113,BACK_AT_ONCE,0",
    "11114,BACK_AT_ONCE,300",
    "11115,BACK_AT_ONCE,1200",
    "11116,THERE_AND_BACK,0",
    "11117,THERE_AND_BACK,1200",
    "11118,THERE_AND_BACK,2500",
    "11119,THERE_AND_BACK,2530",
    "11120,FROZEN,0",
    "11121,FROZEN,1700",
    "11122,FROZEN,5000",
    "11123,ALONE,30",
    "11124,ALONE,2000",
    "11125,REFUSED,30",
    "11126,REFUSED,2000"
  })
  void jobsCancelledDuringALeaderChange(long seed, LeaderChange change, long cancelAfterMs) {
    run(seed, change, cancelAfterMs);
  }

  static SimulatedCluster run(long seed, LeaderChange change, long cancelAfterMs) {
    CancellationOutageTest.Scenario scenario = new CancellationOutageTest.Scenario(seed);
    SimulatedCluster cluster = scenario.cluster;
    long changeAtMs = cluster.sim.now() + 6000;
    List<SimulatedUsers.KnownJob> endingJobs = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      // Tasks last up to a tenth more or less than their users estimate, and begin about a second
      // later.
      endingJobs.add(cluster.users.submitArray("one", "high", 1 + i % 3, 5));
    }
    cluster.sim.after(
        changeAtMs - 400 - cluster.sim.now(), () -> launchJobs(cluster, scenario.cancelled));
    cluster.sim.after(changeAtMs - cluster.sim.now(), () -> change.inject(cluster));
    cluster.sim.after(
        changeAtMs + cancelAfterMs - cluster.sim.now(),
        () -> {
          scenario.cancelled.forEach(cluster.users::cancel);
          endingJobs.forEach(cluster.users::cancel);
        });
    cluster.run(30_000);
    scenario.cancelled.forEach(t -> assertTrue(t.aborted, t.ref + " is not cancelled"));
    endingJobs.forEach(
        t -> assertTrue(t.aborted || t.done, t.ref + " is neither done nor cancelled"));
    cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS);
    assertEquals(0, scenario.running(scenario.cancelled), "cancelled tasks still run");
    cluster.run(60_000);
    SeededDaysTest.settle(cluster);
    return cluster;
  }

  /**
   * No controller leads when users get their confirmations, and the state service fails some
   * milliseconds after the next leader is elected: that leader may not have read yet which tasks of
   * ended jobs are on machines.
   */
  @ParameterizedTest(name = "out {0} ms after the next leader has won")
  @ValueSource(ints = {3, 5, 9, 11})
  void stateServiceFailsAsTheNextLeaderBegins(int outageAfterMs) {
    CancellationOutageTest.Scenario scenario =
        new CancellationOutageTest.Scenario(12200 + outageAfterMs);
    SimulatedCluster cluster = scenario.cluster;
    scenario.stallEveryThirdMachine();
    scenario.oldLeader.crash(9000);
    scenario.cancelled.forEach(t -> cluster.users.cancelAt(t, scenario.second));
    cluster.run(150);
    while (cluster.leader() == null || cluster.leader() == scenario.oldLeader) {
      cluster.run(1);
    }
    cluster.run(outageAfterMs);
    cluster.state.beginOutage();
    cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2);
    cluster.state.endOutage();
    cluster.run(90_000);
    SeededDaysTest.settle(cluster);
  }

  /**
   * Submits arrays, a gang, a service and jobs of one task, whose launches are in flight at the
   * change.
   */
  private static void launchJobs(SimulatedCluster cluster, List<SimulatedUsers.KnownJob> jobs) {
    jobs.add(cluster.users.submitArray("one", "high", 4, 150));
    jobs.add(cluster.users.submitModifiedArray("two", 3, 150, b -> b.put("shape", "gang")));
    jobs.add(cluster.users.submitService("two", 3));
    for (int i = 0; i < 4; i++) {
      jobs.add(cluster.users.submitArray("two", "high", 1, 150));
    }
  }
}
