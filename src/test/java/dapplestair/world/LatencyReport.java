package dapplestair.world;

import dapplestair.settings.Lane;
import dapplestair.settings.OperatorSettings;
import dapplestair.work.Rank;
import java.util.List;
import java.util.Set;
import java.util.function.IntToLongFunction;
import java.util.stream.IntStream;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Prints the tables of docs/results.md on elections, lanes and long waits. Not a test. */
final class LatencyReport {
  private static final int SEEDS = 200;
  private static final long MOST_MS = 600_000;

  private LatencyReport() {}

  /** Without arguments all tables; the number of seeds may be given. */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : SEEDS;
    System.out.println(
        "| what, ms | 50 of 100 | 90 | 99 | most |\n| --- | --- | --- | --- | --- |");
    for (int atOnce = 1; atOnce <= 3; atOnce++) {
      int n = atOnce;
      row("to a leader, %d back within 0.6 s, twice".formatted(n), seeds, s -> election(s, n));
    }
    row("a rider's last start, full fleet, no lane", seeds, s -> rider(s, false, false));
    row("a rider's last start, full fleet, lane", seeds, s -> rider(s, true, false));
    row("the same, the leader ends, no lane", seeds, s -> rider(s, false, true));
    row("the same, the leader ends, lane", seeds, s -> rider(s, true, true));
  }

  private static void row(String what, int seeds, IntToLongFunction one) {
    Histogram h = new ConcurrentHistogram(MOST_MS, 3);
    IntStream.rangeClosed(1, seeds).parallel().forEach(s -> h.recordValue(one.applyAsLong(s)));
    System.out.printf(
        "| %s | %d | %d | %d | %d |%n",
        what,
        h.getValueAtPercentile(50),
        h.getValueAtPercentile(90),
        h.getValueAtPercentile(99),
        h.getMaxValue());
  }

  private static SimulatedCluster world(int seed, OperatorSettings operatorSettings) {
    SimulatedCluster w = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    w.network.lossProbability = 0;
    w.users.submissionsStopped = true;
    w.operatorSettings = operatorSettings;
    w.nodes.forEach(n -> n.crash(500));
    w.cloud.setCapacity(0.25);
    w.run(20_000);
    return w;
  }

  private static long election(int seed, int atOnce) {
    SimulatedCluster w = world(seed, OperatorSettings.defaults());
    for (int twice = 0; twice < 2; twice++) {
      int first = w.leader() == null ? 0 : w.leader().index;
      for (int i = 0; i < atOnce; i++) {
        w.nodes.get((first + i) % 3).crash(w.sim.between(50, 600));
      }
      w.run(w.sim.between(100, 1200));
    }
    long at = w.sim.now();
    long term = w.state.value("live/term").path("term").asLong();
    boolean led = w.leader() != null && w.leader().isUp();
    while (!led && w.sim.now() - at < MOST_MS) {
      w.run(20);
      // Of the process that runs now, not of its earlier life.
      led = w.leader() != null && w.state.value("live/term").path("term").asLong() > term;
    }
    return w.sim.now() - at;
  }

  private static long rider(int seed, boolean lane, boolean leaderEnds) {
    Lane gate =
        new Lane(
            "gate", Set.of("gate"), Set.of(), Set.of("settle"), Rank.HIGH, Rank.STANDARD, 0, 2000);
    SimulatedCluster w =
        world(
            seed,
            lane
                ? OperatorSettings.defaults().withLanes(List.of(gate))
                : OperatorSettings.defaults());
    for (int i = 0; i < 12; i++) {
      w.users.submitModifiedArray(
          i % 2 == 0 ? "one" : "two",
          24,
          300,
          b -> b.put("jobclass", "settle").put("snapshotEveryS", 5.0).put("snapshotS", 0.5));
    }
    w.run(40_000);
    SimulatedUsers.KnownJob rider =
        w.users.submitModifiedArray(
            "two", 24, 60, b -> b.put("jobclass", "gate").put("rank", "high"));
    if (leaderEnds) {
      w.run(w.sim.between(20, 500));
      if (w.leader() != null) {
        w.leader().crash(3000);
      }
    }
    while (rider.starts < rider.taskCount && w.sim.now() - rider.submittedAtMs < 60_000) {
      w.run(20);
    }
    return w.sim.now() - rider.submittedAtMs;
  }
}
