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

/** Prints the tables of docs/results.md on elections, lanes and long waits. It is not a test. */
final class LatencyReport {
  private static final int DEFAULT_SEEDS = 200;
  private static final long MAX_WAIT_MS = 600_000;

  private LatencyReport() {}

  /** Prints all tables; the optional argument is the number of seeds. */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
    System.out.println(
        "| what, ms | 50 of 100 | 90 | 99 | most |\n| --- | --- | --- | --- | --- |");
    for (int count = 1; count <= 3; count++) {
      int crashedControllers = count;
      printRow(
          "to a leader, %d back within 0.6 s, twice".formatted(crashedControllers),
          seeds,
          s -> measureElectionMs(s, crashedControllers));
    }
    printRow(
        "a rider's last start, full fleet, no lane",
        seeds,
        s -> measureRiderStartMs(s, false, false));
    printRow(
        "a rider's last start, full fleet, lane", seeds, s -> measureRiderStartMs(s, true, false));
    printRow("the same, the leader ends, no lane", seeds, s -> measureRiderStartMs(s, false, true));
    printRow("the same, the leader ends, lane", seeds, s -> measureRiderStartMs(s, true, true));
  }

  private static void printRow(String label, int seeds, IntToLongFunction measurement) {
    Histogram histogram = new ConcurrentHistogram(MAX_WAIT_MS, 3);
    IntStream.rangeClosed(1, seeds)
        .parallel()
        .forEach(s -> histogram.recordValue(measurement.applyAsLong(s)));
    System.out.printf(
        "| %s | %d | %d | %d | %d |%n",
        label,
        histogram.getValueAtPercentile(50),
        histogram.getValueAtPercentile(90),
        histogram.getValueAtPercentile(99),
        histogram.getMaxValue());
  }

  private static SimulatedCluster startCluster(int seed, OperatorSettings operatorSettings) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.operatorSettings = operatorSettings;
    cluster.nodes.forEach(n -> n.crash(500));
    cluster.cloud.setCapacityShare(0.25);
    cluster.run(20_000);
    return cluster;
  }

  private static long measureElectionMs(int seed, int crashedControllers) {
    SimulatedCluster cluster = startCluster(seed, OperatorSettings.defaults());
    for (int round = 0; round < 2; round++) {
      int firstIndex = cluster.leader() == null ? 0 : cluster.leader().index;
      for (int i = 0; i < crashedControllers; i++) {
        cluster.nodes.get((firstIndex + i) % 3).crash(cluster.sim.between(50, 600));
      }
      cluster.run(cluster.sim.between(100, 1200));
    }
    long startMs = cluster.sim.now();
    long termBefore = cluster.state.value("live/term").path("term").asLong();
    boolean newLeaderElected = cluster.leader() != null && cluster.leader().isUp();
    while (!newLeaderElected && cluster.sim.now() - startMs < MAX_WAIT_MS) {
      cluster.run(20);
      // A new term shows that the leader is the process running now, not one before its restart.
      newLeaderElected =
          cluster.leader() != null
              && cluster.state.value("live/term").path("term").asLong() > termBefore;
    }
    return cluster.sim.now() - startMs;
  }

  private static long measureRiderStartMs(int seed, boolean useLane, boolean crashLeader) {
    Lane gateLane =
        new Lane(
            "gate", Set.of("gate"), Set.of(), Set.of("settle"), Rank.HIGH, Rank.STANDARD, 0, 2000);
    SimulatedCluster cluster =
        startCluster(
            seed,
            useLane
                ? OperatorSettings.defaults().withLanes(List.of(gateLane))
                : OperatorSettings.defaults());
    for (int i = 0; i < 12; i++) {
      cluster.users.submitModifiedArray(
          i % 2 == 0 ? "one" : "two",
          24,
          300,
          b -> b.put("jobclass", "settle").put("snapshotEveryS", 5.0).put("snapshotS", 0.5));
    }
    cluster.run(40_000);
    SimulatedUsers.KnownJob rider =
        cluster.users.submitModifiedArray(
            "two", 24, 60, b -> b.put("jobclass", "gate").put("rank", "high"));
    if (crashLeader) {
      cluster.run(cluster.sim.between(20, 500));
      if (cluster.leader() != null) {
        cluster.leader().crash(3000);
      }
    }
    while (rider.starts < rider.taskCount && cluster.sim.now() - rider.submittedAtMs < 60_000) {
      cluster.run(20);
    }
    return cluster.sim.now() - rider.submittedAtMs;
  }
}
