package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The leader changes ten times in two minutes, also inside an outage of the state service. */
class ManyLeadersTest {
  private static final int CHANGES = 10;
  private static final long EVERY_MS = 10_500;

  private static long term(SimulatedCluster w) {
    return w.state.value("live/term").path("term").asLong();
  }

  /**
   * Each leader leads for some ten seconds, too short to count the time allowed for cancelled work
   * from its own beginning.
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
  void tenLeaders(long seed, MachineFault fault, int outRound, long outMs) {
    play(seed, fault, outRound, outMs);
  }

  static SimulatedCluster play(long seed, MachineFault fault, int outRound, long outMs) {
    TeamLimitsTest.FullDay f = new TeamLimitsTest.FullDay(seed);
    SimulatedCluster w = f.w;
    LeaderChange[] ways = LeaderChange.values();
    long first = term(w);
    f.day.injectFaultOnEverySecondMachine(fault, SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2);
    f.cancel();
    for (int i = 0; i < CHANGES; i++) {
      if (i == outRound) {
        w.state.beginOutage();
        w.sim.after(outMs, w.state::endOutage);
      }
      w.run(w.sim.between(0, 400));
      LeaderChange way = ways[(int) (seed + i) % ways.length];
      way.inject(w);
      long end = w.sim.now() + EVERY_MS;
      w.run(w.sim.between(0, 4000));
      cancelOne(f);
      w.run(end - w.sim.now());
    }
    w.run(outMs + 10_000);
    if (outMs == 0) {
      long terms = term(w) - first;
      assertTrue(terms >= CHANGES - 1, "only " + terms + " changes of the leader");
    }
    f.settle();
    return w;
  }

  /**
   * All machines of a zone hang past their lease. Behind a cut it would look the same, so leaders
   * wait, each for less than the time allowed for cancelled work: together they may not. Jobs of
   * one task are on a launch batch, which does not say since when they are over.
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
  void aZoneHangsAndNoLeaderStays(long seed, String zone, long everyMs, boolean ofOneTask) {
    CancellationOutageTest.Scenario d =
        ofOneTask
            ? new CancellationOutageTest.Scenario(seed)
            : new TeamLimitsTest.FullDay(seed).day;
    SimulatedCluster w = d.cluster;
    if (ofOneTask) {
      d.cancelled.clear();
      for (int i = 0; i < 24; i++) {
        d.cancelled.add(w.users.submitArray("one", "high", 1, 150));
      }
      w.run(6000);
      assertTrue(d.running(d.cancelled) > 12, "hardly a job of one task runs");
    }
    for (EmulatedWorker m : List.copyOf(w.cloud.machines())) {
      if (!m.isGone() && m.zone().equals(zone)) {
        m.stall(SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2);
      }
    }
    d.cancelled.forEach(w.users::cancel);
    long end = w.sim.now() + SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2;
    for (int i = 0; w.sim.now() < end; i++) {
      (i % 2 == 0 ? LeaderChange.PLANNED : LeaderChange.CRASH).inject(w);
      w.run(everyMs);
    }
    w.run(90_000);
    SeededDaysTest.settle(w);
  }

  /** Users are told while machines hang, and an outage begins. */
  static CancellationOutageTest.Scenario cancelledOnHangingMachines(long seed) {
    CancellationOutageTest.Scenario d = new CancellationOutageTest.Scenario(seed);
    d.cancelled.forEach(t -> d.cluster.users.cancelAt(t, d.oldLeader));
    d.stallEveryThirdMachine();
    d.cluster.run(500);
    d.cancelJobs(d.oldLeader);
    assertTrue(d.running(d.cancelled) > 0, "everything stops at once");
    d.cluster.state.beginOutage();
    return d;
  }

  /** Whoever told the users ends in the outage: the others look after what does not stop. */
  @ParameterizedTest(name = "seed {0}, ends after {1} ms")
  @CsvSource({"12101,100", "12102,3000", "12103,15000"})
  void whoToldEndsInAnOutage(long seed, long endsMs) {
    CancellationOutageTest.Scenario d = cancelledOnHangingMachines(seed);
    SimulatedCluster w = d.cluster;
    w.sim.after(endsMs, () -> d.oldLeader.crash(4000));
    w.run(SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2);
    w.state.endOutage();
    w.run(90_000);
    SeededDaysTest.settle(w);
  }

  /** All controllers end in the outage, and are back at once, while machines hang. */
  @ParameterizedTest(name = "seed {0}, end after {1} ms")
  @CsvSource({"12201,100", "12202,3000", "12203,15000"})
  void allEndInAnOutageWhileMachinesHang(long seed, long endMs) {
    CancellationOutageTest.Scenario d = cancelledOnHangingMachines(seed);
    SimulatedCluster w = d.cluster;
    w.nodes.forEach(n -> w.sim.after(endMs, () -> n.crash(1000)));
    w.run(SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2);
    w.state.endOutage();
    w.run(90_000);
    SeededDaysTest.settle(w);
  }

  /** Something small that is just being launched. */
  private static void cancelOne(TeamLimitsTest.FullDay f) {
    SimulatedUsers.KnownJob job = f.w.users.submitArray("two", "high", 2, 20);
    f.day.cancelled.add(job);
    cancelOnceAccepted(f.w, job);
  }

  static void cancelOnceAccepted(SimulatedCluster w, SimulatedUsers.KnownJob job) {
    if (job.accepted) {
      w.users.cancel(job);
    } else {
      w.sim.after(100, () -> cancelOnceAccepted(w, job));
    }
  }

  /** Controllers end one after the other inside an outage, and are back at once or later. */
  @ParameterizedTest(name = "seed {0}, out for {1} ms, back after {2} ms")
  @CsvSource({"11221,20000,300", "11222,60000,300", "11223,75000,4000", "11224,120000,800"})
  void allEndInTurnInsideAnOutage(long seed, long outMs, long backMs) {
    CancellationOutageTest.Scenario d = new CancellationOutageTest.Scenario(seed);
    SimulatedCluster w = d.cluster;
    d.cancelled.forEach(w.users::cancel);
    w.run(w.sim.between(50, 400));
    w.state.beginOutage();
    w.sim.after(outMs, w.state::endOutage);
    for (int i = 0; i < CHANGES; i++) {
      SimulatedCluster.ControllerNode node = w.nodes.get((d.oldLeader.index + i) % 3);
      w.sim.after(i * outMs / CHANGES, () -> node.crash(backMs));
    }
    w.run(outMs + 30_000);
    d.cancelled.forEach(t -> assertTrue(t.aborted, t.ref + " is not cancelled"));
    w.run(SimulatedCluster.CANCEL_DEADLINE_MS);
    assertEquals(0, d.running(List.copyOf(d.cancelled)), "cancelled tasks");
    w.run(90_000);
    SeededDaysTest.settle(w);
  }
}
