package dapplestair.world;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * How long a cancelled job's tasks live after its user was told: {@code CancellationLatency SEEDS}
 * plays so many seeds of each trouble and prints median, 99 of 100 and the longest.
 */
final class CancellationLatency {
  private static final long STEP_MS = 20;

  private CancellationLatency() {}

  public static void main(String[] args) {
    int seeds = Integer.parseInt(args[0]);
    measure("none", seeds, d -> {}, d -> {});
    measure("the leader ends as it is told", seeds, d -> {}, d -> d.oldLeader.crash(800));
    measure(
        "the leader is refused, then all",
        seeds,
        CancellationOutageTest::refuseOldLeader,
        d -> d.cluster.state.fail());
    measure(
        "the same, links between controllers refused",
        seeds,
        d -> {
          CancellationOutageTest.refuseOldLeader(d);
          d.cutLinks("refused", true);
        },
        d -> d.cluster.state.fail());
    measure(
        "the same, who confirmed ends at once",
        seeds,
        d -> {
          CancellationOutageTest.refuseOldLeader(d);
          d.cutLinks("refused", true);
        },
        d -> {
          d.cluster.state.fail();
          d.second.crash(800);
        });
    measure(
        "a tenth of the machines deaf",
        seeds,
        d ->
            d.cluster.cloud.machines().stream()
                .filter(m -> d.cluster.sim.chance(0.1))
                .forEach(m -> m.deafen(SimulatedCluster.LEASE_MS)),
        d -> {});
  }

  private static void measure(
      String trouble,
      int seeds,
      Consumer<CancellationOutageTest.Scenario> before,
      Consumer<CancellationOutageTest.Scenario> after) {
    Histogram ms = new Histogram(SimulatedCluster.CANCEL_MS * 4, 3);
    for (int i = 0; i < seeds; i++) {
      CancellationOutageTest.Scenario d = new CancellationOutageTest.Scenario(8700 + i);
      before.accept(d);
      d.cancelJobs(d.second);
      after.accept(d);
      Map<SimulatedUsers.KnownJob, Long> goneAt = new HashMap<>();
      long end = d.cluster.sim.now() + SimulatedCluster.CANCEL_MS;
      while (d.cluster.sim.now() < end && goneAt.size() < d.cancelled.size()) {
        for (SimulatedUsers.KnownJob t : d.cancelled) {
          if (d.running(t) == 0) {
            goneAt.putIfAbsent(t, d.cluster.sim.now());
          }
        }
        d.cluster.run(STEP_MS);
      }
      for (SimulatedUsers.KnownJob t : d.cancelled) {
        ms.recordValue(Math.max(0, goneAt.getOrDefault(t, end) - t.abortedAt));
      }
    }
    System.out.printf(
        "| %s | %d | %d | %d | %d |%n",
        trouble,
        ms.getTotalCount(),
        ms.getValueAtPercentile(50),
        ms.getValueAtPercentile(99),
        ms.getMaxValue());
  }
}
