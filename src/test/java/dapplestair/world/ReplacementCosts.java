package dapplestair.world;

import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import dapplestair.json.Json;
import dapplestair.settings.DisruptionBudgets;
import dapplestair.settings.OperatorSettings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * Measures what it costs to replace all workers under load in the simulated cluster; started by
 * hand. Times are virtual: they include decisions and messages, but no processor time.
 */
public final class ReplacementCosts {
  private static final long SAMPLE_INTERVAL_MS = 500;
  private static final long MAX_DURATION_MS = 7_200_000;
  private static final int REPLICAS_PER_SERVICE = 6;
  private static final double STEADY_PRICE = 1;
  private static final double SPOT_PRICE = 0.4;

  private ReplacementCosts() {}

  private record Strategy(double stepShare, double budgetShare, boolean usesSurge) {
    String name() {
      return stepShare == 0
          ? "all drained at once, %s".formatted(budgetShare >= 1 ? "as before" : "10% out")
          : "step %.0f%%, %.0f%% out, %s"
              .formatted(
                  100 * stepShare, 100 * budgetShare, usesSurge ? "as many beyond" : "none beyond");
    }
  }

  /**
   * Prints the tables of docs/results.md. Arguments: machines of each kind in each zone, number of
   * services, and optionally {@code look}, {@code one} or another word for fewer strategies.
   */
  public static void main(String[] args) {
    int machinesPerZone = args.length > 0 ? Integer.parseInt(args[0]) : 60;
    int services = args.length > 1 ? Integer.parseInt(args[1]) : 200;
    boolean fewStrategies = args.length > 2;
    if (fewStrategies && args[2].equals("look")) {
      measureMetricsScrape(machinesPerZone, services);
      return;
    }
    List<Strategy> strategies =
        new ArrayList<>(List.of(new Strategy(0, 1, false), new Strategy(0, 0.1, false)));
    for (double stepShare : fewStrategies ? new double[] {0.05} : new double[] {0.01, 0.05, 0.2}) {
      for (double budgetShare :
          fewStrategies ? new double[] {0.02} : new double[] {0.01, 0.02, 0.1}) {
        strategies.add(new Strategy(stepShare, budgetShare, true));
        strategies.add(new Strategy(stepShare, budgetShare, false));
      }
    }
    if (fewStrategies && args[2].equals("one")) {
      strategies.removeIf(w -> !w.usesSurge());
    }
    System.out.println(
        "| way | machines | minutes | replica s out | worst 30 s | CPU s thrown away | money | puts |");
    strategies.parallelStream()
        .map(w -> replaceAllMachines(w, machinesPerZone, services))
        .forEachOrdered(System.out::println);
  }

  /**
   * Measures the processor time of one scrape of the metrics, which iterates over all attempts
   * several times.
   */
  private static void measureMetricsScrape(int machinesPerZone, int services) {
    SimulatedCluster cluster =
        startLoadedCluster(new Strategy(0.05, 0.1, true), machinesPerZone, services);
    int attempts =
        cluster.cloud.machines().stream().mapToInt(m -> m.isGone() ? 0 : m.tasks().size()).sum();
    Histogram micros = new Histogram(60_000_000, 3);
    for (int i = 0; i < 400; i++) {
      cluster.run(50);
      long startNs = System.nanoTime();
      cluster.leader().askAsOperator("GET", "/metrics", r -> {});
      if (i >= 100) {
        micros.recordValue((System.nanoTime() - startNs) / 1000);
      }
    }
    System.out.printf(
        "%d attempts: median %d, 99 of 100 %d microseconds%n",
        attempts, micros.getValueAtPercentile(50), micros.getValueAtPercentile(99));
  }

  private static SimulatedCluster startLoadedCluster(
      Strategy strategy, int machinesPerZone, int services) {
    SimulatedCluster cluster =
        new SimulatedCluster(
            4711,
            new SimulatedCluster.Size(machinesPerZone, 8.0 * machinesPerZone * 3, 1_000_000, 1),
            true);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    DisruptionBudgets.DisruptionBudget defaultBudget = DisruptionBudgets.DEFAULTS.defaultBudget();
    cluster.operatorSettings =
        OperatorSettings.defaults()
            .withBudgets(
                new DisruptionBudgets(
                    Map.of(),
                    new DisruptionBudgets.DisruptionBudget(
                        Integer.MAX_VALUE,
                        strategy.budgetShare,
                        1,
                        1,
                        defaultBudget.arrayTasks(),
                        defaultBudget.lostCpuS())));
    cluster.nodes.forEach(n -> n.crash(1000));
    cluster.run(8000);
    for (int i = 0; i < services; i++) {
      cluster.users.submitService(i % 2 == 0 ? "one" : "two", REPLICAS_PER_SERVICE);
      if (i % 10 == 9) {
        cluster.run(1000);
      }
    }
    submitLoad(cluster, new boolean[] {true});
    cluster.run(150_000);
    return cluster;
  }

  /** Submits arrays, of which half save snapshots, for as long as {@code active[0]} is true. */
  static void submitLoad(SimulatedCluster cluster, boolean[] active) {
    if (!active[0]) {
      return;
    }
    boolean savesSnapshots = cluster.sim.chance(0.5);
    cluster.users.submitModifiedArray(
        cluster.sim.chance(0.5) ? "one" : "two",
        60,
        cluster.sim.between(20, 60),
        b ->
            b.put("snapshotEveryS", savesSnapshots ? 10.0 : 0.0)
                .put("snapshotS", savesSnapshots ? 1.0 : 0.0));
    cluster.sim.after(4000, () -> submitLoad(cluster, active));
  }

  private static String replaceAllMachines(Strategy strategy, int machinesPerZone, int services) {
    SimulatedCluster cluster = startLoadedCluster(strategy, machinesPerZone, services);
    Set<String> oldMachineIds = ReplacementTest.machineIds(cluster);
    long putsBefore = cluster.state.writeCount();
    double lostCpuSecondsBefore = totalLostCpuSeconds(cluster);
    if (strategy.stepShare == 0) {
      for (String zone : SimulatedCluster.ZONES) {
        for (EmulatedWorker machine : List.copyOf(cluster.cloud.machines())) {
          if (machine.zone().equals(zone) && oldMachineIds.contains(machine.id())) {
            OperatorsTest.sendRequest(
                cluster,
                0,
                "POST",
                "/v1/machines/" + machine.id() + "/drain",
                Json.object().put("return", true),
                r -> {});
            cluster.run(20);
          }
        }
      }
    } else {
      int step = (int) Math.ceil(strategy.stepShare * oldMachineIds.size());
      OperatorsTest.submitOrder(
          cluster,
          "/v1/replacements/night/start",
          Json.object()
              .put("older_s", 0.001)
              .put("step", step)
              .put("beyond", strategy.usesSurge ? step : 0));
    }
    return measureReplacement(
        strategy,
        cluster,
        oldMachineIds,
        services * REPLICAS_PER_SERVICE,
        putsBefore,
        lostCpuSecondsBefore);
  }

  private static String measureReplacement(
      Strategy strategy,
      SimulatedCluster cluster,
      Set<String> oldMachineIds,
      int wantedReplicas,
      long putsBefore,
      double lostCpuSecondsBefore) {
    long startMs = cluster.sim.now();
    double missingReplicaSeconds = 0;
    double maxMissingShare = 0;
    double cost = 0;
    ArrayDeque<Double> window = new ArrayDeque<>();
    double missingInWindow = 0;
    int remainingMachines = oldMachineIds.size();
    while (remainingMachines > 0 && cluster.sim.now() - startMs < MAX_DURATION_MS) {
      cluster.run(SAMPLE_INTERVAL_MS);
      double missingInSample =
          Math.max(0, wantedReplicas - countReplicas(cluster)) * SAMPLE_INTERVAL_MS / 1000.0;
      missingReplicaSeconds += missingInSample;
      window.add(missingInSample);
      missingInWindow += missingInSample - (window.size() > 60 ? window.poll() : 0);
      maxMissingShare = Math.max(maxMissingShare, missingInWindow / (30.0 * wantedReplicas));
      remainingMachines = 0;
      for (EmulatedWorker machine : cluster.cloud.machines()) {
        if (!machine.isGone()) {
          remainingMachines += oldMachineIds.contains(machine.id()) ? 1 : 0;
          cost += (machine.isSpot() ? SPOT_PRICE : STEADY_PRICE) * SAMPLE_INTERVAL_MS / 3_600_000.0;
        }
      }
    }
    return String.format(
        Locale.ROOT,
        "| %s | %d | %s | %.0f | %.4f | %.0f | %.1f | %d |",
        strategy.name(),
        oldMachineIds.size(),
        remainingMachines > 0
            ? remainingMachines + " left after " + MAX_DURATION_MS / 60_000
            : String.format(Locale.ROOT, "%.1f", (cluster.sim.now() - startMs) / 60_000.0),
        missingReplicaSeconds,
        1 - maxMissingShare,
        totalLostCpuSeconds(cluster) - lostCpuSecondsBefore,
        cost,
        cluster.state.writeCount() - putsBefore);
  }

  private static double totalLostCpuSeconds(SimulatedCluster cluster) {
    return cluster.checker.lostCpuSeconds.values().stream().mapToDouble(d -> d).sum();
  }

  private static int countReplicas(SimulatedCluster cluster) {
    int count = 0;
    for (EmulatedWorker machine : cluster.cloud.machines()) {
      if (!machine.isGone()) {
        for (EmulatedTask task : machine.tasks()) {
          count += task.isOnMachine() && task.isService() ? 1 : 0;
        }
      }
    }
    return count;
  }
}
