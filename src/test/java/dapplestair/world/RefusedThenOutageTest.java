package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Jobs are cancelled around the moment at which the state service begins to refuse the leader
 * alone; a second or more later the state service is out for all controllers, for longer than
 * {@code cancel_s}.
 */
class RefusedThenOutageTest {
  /** The controllers that get the cancellations. */
  enum CancelTarget {
    LEADER,
    OTHER,
    ANY,
    ALL
  }

  private static void cancel(CancellationOutageTest.Scenario day, CancelTarget target) {
    for (SimulatedUsers.KnownJob job : day.cancelled) {
      switch (target) {
        case LEADER -> day.cluster.users.cancelAt(job, day.oldLeader);
        case OTHER -> day.cluster.users.cancelAt(job, day.second);
        case ANY -> day.cluster.users.cancel(job);
        default -> day.cluster.nodes.forEach(n -> day.cluster.users.cancelAt(job, n));
      }
    }
  }

  /** Cancels {@code cancelOffsetMs} after the refusal, or before it if negative. */
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
  void cancelledAroundTheRefusal(
      long seed, CancelTarget target, long cancelOffsetMs, String links, long outageAfterMs) {
    runScenario(seed, target, cancelOffsetMs, links, outageAfterMs);
  }

  static SimulatedCluster runScenario(
      long seed, CancelTarget target, long cancelOffsetMs, String links, long outageAfterMs) {
    CancellationOutageTest.Scenario day = new CancellationOutageTest.Scenario(seed);
    SimulatedCluster cluster = day.cluster;
    long refusedAtMs = cluster.sim.now() + 100;
    cluster.sim.after(100, () -> cluster.state.setRefused("node-" + day.oldLeader.index, true));
    cluster.sim.after(100 + Math.max(0, cancelOffsetMs), () -> day.cutLinks(links, true));
    cluster.sim.after(100 + cancelOffsetMs, () -> cancel(day, target));
    cluster.run(refusedAtMs + outageAfterMs - cluster.sim.now());
    if (target != CancelTarget.LEADER && cancelOffsetMs <= 700) {
      assertTrue(
          day.cancelled.stream().anyMatch(t -> t.aborted),
          "no cancellation was confirmed before the outage");
    }
    cluster.state.beginOutage();
    cluster.run(2 * SimulatedCluster.CANCEL_DEADLINE_MS);
    cluster.state.setRefused("node-" + day.oldLeader.index, false);
    cluster.state.endOutage();
    day.healLinks();
    day.cancelled.forEach(cluster.users::cancel);
    cluster.run(160_000);
    day.cancelled.forEach(t -> assertTrue(t.aborted, t.ref + " is not cancelled"));
    assertEquals(0, day.running(day.cancelled), "cancelled tasks still run");
    SeededDaysTest.settle(cluster);
    return cluster;
  }
}
