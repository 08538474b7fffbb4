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
    measure("the leader ends as it is told", seeds, d -> {}, d -> d.old.crash(800));
    measure(
        "the leader is refused, then all",
        seeds,
        CancellationOutageTest::refuse,
        d -> d.w.state.fail());
    measure(
        "the same, links between controllers refused",
        seeds,
        d -> {
          CancellationOutageTest.refuse(d);
          d.links("refused", true);
        },
        d -> d.w.state.fail());
    measure(
        "the same, who confirmed ends at once",
        seeds,
        d -> {
          CancellationOutageTest.refuse(d);
          d.links("refused", true);
        },
        d -> {
          d.w.state.fail();
          d.second.crash(800);
        });
    measure(
        "a tenth of the machines deaf",
        seeds,
        d ->
            d.w.cloud.machines().stream()
                .filter(m -> d.w.sim.chance(0.1))
                .forEach(m -> m.deafen(SimulatedCluster.LEASE_MS)),
        d -> {});
  }

  private static void measure(
      String trouble,
      int seeds,
      Consumer<CancellationOutageTest.Day> before,
      Consumer<CancellationOutageTest.Day> after) {
    Histogram ms = new Histogram(SimulatedCluster.CANCEL_DEADLINE_MS * 4, 3);
    for (int i = 0; i < seeds; i++) {
      CancellationOutageTest.Day d = new CancellationOutageTest.Day(8700 + i);
      before.accept(d);
      d.cancel(d.second);
      after.accept(d);
      Map<SimulatedUsers.KnownJob, Long> goneAt = new HashMap<>();
      long end = d.w.sim.now() + SimulatedCluster.CANCEL_DEADLINE_MS;
      while (d.w.sim.now() < end && goneAt.size() < d.cancelled.size()) {
        for (SimulatedUsers.KnownJob t : d.cancelled) {
          if (d.running(t) == 0) {
            goneAt.putIfAbsent(t, d.w.sim.now());
          }
        }
        d.w.run(STEP_MS);
      }
      for (SimulatedUsers.KnownJob t : d.cancelled) {
        ms.recordValue(Math.max(0, goneAt.getOrDefault(t, end) - t.abortedAtMs));
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
