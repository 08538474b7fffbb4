package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Jobs are cancelled at the very moment at which the state service refuses the leader alone; a
 * second later it is out for all, for longer than {@code cancel_s}.
 */
class RefusedThenOutageTest {
  /** Who is asked to cancel. */
  enum Asked {
    LEADER,
    OTHER,
    ANY,
    ALL
  }

  private static void cancel(CancellationOutageTest.Scenario d, Asked asked) {
    for (SimulatedUsers.KnownJob job : d.cancelled) {
      switch (asked) {
        case LEADER -> d.cluster.users.cancelAt(job, d.oldLeader);
        case OTHER -> d.cluster.users.cancelAt(job, d.second);
        case ANY -> d.cluster.users.cancel(job);
        default -> d.cluster.nodes.forEach(n -> d.cluster.users.cancelAt(job, n));
      }
    }
  }

  /** Cancelled so many milliseconds after the refusal, or before it. */
  @ParameterizedTest(name = "seed {0}, {1} asked at {2} ms, links {3}, {4} ms later")
  @CsvSource({
    "11301,LEADER,-60,whole,1000",
    "11302,LEADER,-20,whole,1000",
    "11303,LEADER,-8,refused,1000",
    "11304,LEADER,-4,whole,1000",
    "11305,LEADER,0,held,1000",
    "11306,OTHER,-8,whole,1000",
    "11307,OTHER,0,whole,1000",
    "11308,OTHER,0,refused,1000",
    "11309,OTHER,5,held,1000",
    "11310,OTHER,700,whole,1000",
    "11311,OTHER,960,refused,1000",
    "11312,ANY,-8,whole,1000",
    "11313,ANY,0,refused,1000",
    "11314,ANY,5,held,1000",
    "11315,ANY,200,whole,1700",
    "11316,ANY,900,refused,1700",
    "11317,ALL,-4,whole,1000",
    "11318,ALL,0,whole,1000",
    "11319,ALL,0,held,1000",
    "11320,ALL,5,refused,2500",
    "11321,ALL,300,whole,2500"
  })
  void cancelledAtTheMoment(long seed, Asked asked, long askedMs, String links, long outMs) {
    play(seed, asked, askedMs, links, outMs);
  }

  static SimulatedCluster play(long seed, Asked asked, long askedMs, String links, long outMs) {
    CancellationOutageTest.Scenario d = new CancellationOutageTest.Scenario(seed);
    SimulatedCluster w = d.cluster;
    long at = w.sim.now() + 100;
    w.sim.after(100, () -> w.state.setRefused("node-" + d.oldLeader.index, true));
    w.sim.after(100 + Math.max(0, askedMs), () -> d.cutLinks(links, true));
    w.sim.after(100 + askedMs, () -> cancel(d, asked));
    w.run(at + outMs - w.sim.now());
    if (asked != Asked.LEADER && askedMs <= 700) {
      assertTrue(d.cancelled.stream().anyMatch(t -> t.aborted), "nothing is confirmed in time");
    }
    w.state.beginOutage();
    w.run(2 * SimulatedCluster.CANCEL_DEADLINE_MS);
    w.state.setRefused("node-" + d.oldLeader.index, false);
    w.state.endOutage();
    d.healLinks();
    d.cancelled.forEach(w.users::cancel);
    w.run(160_000);
    d.cancelled.forEach(t -> assertTrue(t.aborted, t.ref + " is not cancelled"));
    assertEquals(0, d.running(d.cancelled), "cancelled tasks");
    SeededDaysTest.settle(w);
    return w;
  }
}
