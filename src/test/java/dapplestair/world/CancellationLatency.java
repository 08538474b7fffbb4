package dapplestair.world;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * Measures how long the tasks of a cancelled job live after its user was told: {@code
 * CancellationLatency SEEDS} runs this many seeds of each fault and prints the median, the 99th
 * percentile and the maximum.
 */
final class CancellationLatency {
  private static final long SAMPLE_INTERVAL_MS = 20;

  private CancellationLatency() {}

  public static void main(String[] args) {
    int seeds = Integer.parseInt(args[0]);
    measure("none", seeds, d -> {}, d -> {});
    measure("the leader ends as it is told", seeds, d -> {}, d -> d.oldLeader.crash(800));
    measure(
        "the leader is refused, then all",
        seeds,
        CancellationOutageTest::refuseOldLeader,
        d -> d.cluster.state.beginOutage());
    measure(
        "the same, links between controllers refused",
        seeds,
        d -> {
          CancellationOutageTest.refuseOldLeader(d);
          d.cutLinks("refused", true);
        },
        d -> d.cluster.state.beginOutage());
    measure(
        "the same, who confirmed ends at once",
        seeds,
        d -> {
          CancellationOutageTest.refuseOldLeader(d);
          d.cutLinks("refused", true);
        },
        d -> {
          d.cluster.state.beginOutage();
          d.second.crash(800);
        });
    measure(
        "a tenth of the machines deaf",
        seeds,
        d ->
            d.cluster.cloud.machines().stream()
                .filter(m -> d.cluster.sim.chance(0.1))
                .forEach(m -> m.cutInbound(SimulatedCluster.LEASE_MS)),
        d -> {});
  }

  private static void measure(
      String faultName,
      int seeds,
      Consumer<CancellationOutageTest.Scenario> beforeCancellation,
      Consumer<CancellationOutageTest.Scenario> afterCancellation) {
    Histogram latenciesMs = new Histogram(SimulatedCluster.CANCEL_DEADLINE_MS * 4, 3);
    for (int i = 0; i < seeds; i++) {
      CancellationOutageTest.Scenario day = new CancellationOutageTest.Scenario(8700 + i);
      beforeCancellation.accept(day);
      day.cancelJobs(day.second);
      afterCancellation.accept(day);
      Map<SimulatedUsers.KnownJob, Long> stoppedAtMs = new HashMap<>();
      long endMs = day.cluster.sim.now() + SimulatedCluster.CANCEL_DEADLINE_MS;
      while (day.cluster.sim.now() < endMs && stoppedAtMs.size() < day.cancelled.size()) {
        for (SimulatedUsers.KnownJob job : day.cancelled) {
          if (day.running(job) == 0) {
            stoppedAtMs.putIfAbsent(job, day.cluster.sim.now());
          }
        }
        day.cluster.run(SAMPLE_INTERVAL_MS);
      }
      for (SimulatedUsers.KnownJob job : day.cancelled) {
        latenciesMs.recordValue(
            Math.max(0, stoppedAtMs.getOrDefault(job, endMs) - job.abortedAtMs));
      }
    }
    System.out.printf(
        "| %s | %d | %d | %d | %d |%n",
        faultName,
        latenciesMs.getTotalCount(),
        latenciesMs.getValueAtPercentile(50),
        latenciesMs.getValueAtPercentile(99),
        latenciesMs.getMaxValue());
  }
}
