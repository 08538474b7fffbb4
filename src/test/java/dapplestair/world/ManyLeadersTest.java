package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The leader changes ten times within two minutes, also during an outage of the state service. */
class ManyLeadersTest {
  private static final int CHANGES = 10;
  private static final long CHANGE_INTERVAL_MS = 10_500;

  private static long currentTerm(SimulatedCluster cluster) {
    return cluster.state.value("live/term").path("term").asLong();
  }

  /**
   * Each leader leads for some ten seconds, which is shorter than the time allowed for cancelled
   * work, so no leader can count that time from the beginning of its own term.
   */
  @ParameterizedTest(name = "seed {0}, machines {1}, out in round {2} for {3} ms")
  @CsvSource({
    "11201,STALL,-1,0",
    "11202,STALL,-1,0",
    "11203,HANG,-1,0",
    "11204,CUT,-1,0",
    "11205,UNASKED,-1,0",
    "11206,DEAF,-1,0",
    "11207,HELD,2,8000",
    "11208,STALL,2,8000",
    "11209,HANG,0,40000",
    "11210,MUTE,1,60000",
    "11211,UNASKED,0,70000"
  })
  void theLeaderChangesTenTimes(long seed, MachineFault fault, int outageRound, long outageMs) {
    runScenario(seed, fault, outageRound, outageMs);
  }

  static SimulatedCluster runScenario(
      long seed, MachineFault fault, int outageRound, long outageMs) {
    TeamLimitsTest.FullClusterScenario scenario = new TeamLimitsTest.FullClusterScenario(seed);
    SimulatedCluster cluster = scenario.cluster;
    LeaderChange[] leaderChanges = LeaderChange.values();
    long firstTerm = currentTerm(cluster);
    scenario.day.injectFaultOnEverySecondMachine(
        fault, SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2);
    scenario.cancelJobs();
    for (int i = 0; i < CHANGES; i++) {
      if (i == outageRound) {
        cluster.state.beginOutage();
        cluster.sim.after(outageMs, cluster.state::endOutage);
      }
      cluster.run(cluster.sim.between(0, 400));
      LeaderChange leaderChange = leaderChanges[(int) (seed + i) % leaderChanges.length];
      leaderChange.inject(cluster);
      long endMs = cluster.sim.now() + CHANGE_INTERVAL_MS;
      cluster.run(cluster.sim.between(0, 4000));
      submitAndCancelJob(scenario);
      cluster.run(endMs - cluster.sim.now());
    }
    cluster.run(outageMs + 10_000);
    if (outageMs == 0) {
      long terms = currentTerm(cluster) - firstTerm;
      assertTrue(terms >= CHANGES - 1, "only " + terms + " changes of the leader");
    }
    scenario.settle();
    return cluster;
  }

  /**
   * All machines of a zone hang past their lease, which leaders cannot tell from a cut. So each
   * leader waits for less than the time allowed for cancelled work; the waits of successive leaders
   * together must not exceed it. Jobs of one task are recorded in a launch batch, which does not
   * hold the time of their end.
   */
  @ParameterizedTest(name = "seed {0}, zone {1}, the leader changes every {2} ms, of one task {3}")
  @CsvSource({
    "12001,a,9000,false",
    "12005,a,7000,false",
    "12008,a,11000,false",
    "12010,a,4000,false",
    "12012,a,9000,true",
    "12013,a,9000,true"
  })
  void aZoneHangsAndNoLeaderStays(
      long seed, String zone, long changeIntervalMs, boolean singleTaskJobs) {
    CancellationOutageTest.Scenario day =
        singleTaskJobs
            ? new CancellationOutageTest.Scenario(seed)
            : new TeamLimitsTest.FullClusterScenario(seed).day;
    SimulatedCluster cluster = day.cluster;
    if (singleTaskJobs) {
      day.cancelled.clear();
      for (int i = 0; i < 24; i++) {
        day.cancelled.add(cluster.users.submitArray("one", "high", 1, 150));
      }
      cluster.run(6000);
      assertTrue(day.running(day.cancelled) > 12, "too few jobs of one task run");
    }
    for (EmulatedWorker m : List.copyOf(cluster.cloud.machines())) {
      if (!m.isGone() && m.zone().equals(zone)) {
        m.stall(SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2);
      }
    }
    day.cancelled.forEach(cluster.users::cancel);
    long endMs = cluster.sim.now() + SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2;
    for (int i = 0; cluster.sim.now() < endMs; i++) {
      (i % 2 == 0 ? LeaderChange.PLANNED : LeaderChange.CRASH).inject(cluster);
      cluster.run(changeIntervalMs);
    }
    cluster.run(90_000);
    SeededDaysTest.settle(cluster);
  }

  /**
   * Returns a cluster in which cancellations were confirmed while machines hang, and an outage of
   * the state service has begun.
   */
  static CancellationOutageTest.Scenario cancelledOnHangingMachines(long seed) {
    CancellationOutageTest.Scenario day = new CancellationOutageTest.Scenario(seed);
    day.cancelled.forEach(t -> day.cluster.users.cancelAt(t, day.oldLeader));
    day.stallEveryThirdMachine();
    day.cluster.run(500);
    day.cancelJobs(day.oldLeader);
    assertTrue(day.running(day.cancelled) > 0, "no cancelled task runs on a hanging machine");
    day.cluster.state.beginOutage();
    return day;
  }

  /**
   * The controller that confirmed the cancellations crashes during the outage; the others have to
   * stop the remaining tasks.
   */
  @ParameterizedTest(name = "seed {0}, ends after {1} ms")
  @CsvSource({"12101,100", "12102,3000", "12103,15000"})
  void theConfirmingControllerCrashesInAnOutage(long seed, long crashAfterMs) {
    CancellationOutageTest.Scenario day = cancelledOnHangingMachines(seed);
    SimulatedCluster cluster = day.cluster;
    cluster.sim.after(crashAfterMs, () -> day.oldLeader.crash(4000));
    cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2);
    cluster.state.endOutage();
    cluster.run(90_000);
    SeededDaysTest.settle(cluster);
  }

  /** All controllers crash during the outage and restart at once, while machines hang. */
  @ParameterizedTest(name = "seed {0}, end after {1} ms")
  @CsvSource({"12201,100", "12202,3000", "12203,15000"})
  void allEndInAnOutageWhileMachinesHang(long seed, long crashAfterMs) {
    CancellationOutageTest.Scenario day = cancelledOnHangingMachines(seed);
    SimulatedCluster cluster = day.cluster;
    cluster.nodes.forEach(n -> cluster.sim.after(crashAfterMs, () -> n.crash(1000)));
    cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2);
    cluster.state.endOutage();
    cluster.run(90_000);
    SeededDaysTest.settle(cluster);
  }

  /** Submits a small job and cancels it as soon as it is accepted, while it is being launched. */
  private static void submitAndCancelJob(TeamLimitsTest.FullClusterScenario scenario) {
    SimulatedUsers.KnownJob job = scenario.cluster.users.submitArray("two", "high", 2, 20);
    scenario.day.cancelled.add(job);
    cancelOnceAccepted(scenario.cluster, job);
  }

  static void cancelOnceAccepted(SimulatedCluster cluster, SimulatedUsers.KnownJob job) {
    if (job.accepted) {
      cluster.users.cancel(job);
    } else {
      cluster.sim.after(100, () -> cancelOnceAccepted(cluster, job));
    }
  }

  /** Controllers crash one after the other during an outage, and restart at once or later. */
  @ParameterizedTest(name = "seed {0}, out for {1} ms, back after {2} ms")
  @CsvSource({"11221,20000,300", "11222,60000,300", "11223,75000,4000", "11224,120000,800"})
  void allEndInTurnInsideAnOutage(long seed, long outageMs, long restartMs) {
    CancellationOutageTest.Scenario day = new CancellationOutageTest.Scenario(seed);
    SimulatedCluster cluster = day.cluster;
    day.cancelled.forEach(cluster.users::cancel);
    cluster.run(cluster.sim.between(50, 400));
    cluster.state.beginOutage();
    cluster.sim.after(outageMs, cluster.state::endOutage);
    for (int i = 0; i < CHANGES; i++) {
      SimulatedCluster.ControllerNode node = cluster.nodes.get((day.oldLeader.index + i) % 3);
      cluster.sim.after(i * outageMs / CHANGES, () -> node.crash(restartMs));
    }
    cluster.run(outageMs + 30_000);
    day.cancelled.forEach(t -> assertTrue(t.aborted, t.ref + " is not cancelled"));
    cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS);
    assertEquals(0, day.running(List.copyOf(day.cancelled)), "cancelled tasks still run");
    cluster.run(90_000);
    SeededDaysTest.settle(cluster);
  }
}
