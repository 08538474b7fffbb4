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
 * What it costs to replace all workers under load, in the seeded world; started by hand. Times are
 * virtual: they hold what is decided and sent, not what a processor takes.
 */
public final class ReplacementCosts {
  private static final long SAMPLE_MS = 500;
  private static final long MOST_MS = 7_200_000;
  private static final int REPLICAS = 6;
  private static final double STEADY = 1;
  private static final double SPOT = 0.4;

  private ReplacementCosts() {}

  private record Way(double step, double budget, boolean beyond) {
    String name() {
      return step == 0
          ? "all drained at once, %s".formatted(budget >= 1 ? "as before" : "10% out")
          : "step %.0f%%, %.0f%% out, %s"
              .formatted(100 * step, 100 * budget, beyond ? "as many beyond" : "none beyond");
    }
  }

  /** Prints the tables of docs/results.md: machines of each kind in each zone, services. */
  public static void main(String[] args) {
    int perPlace = args.length > 0 ? Integer.parseInt(args[0]) : 60;
    int services = args.length > 1 ? Integer.parseInt(args[1]) : 200;
    boolean few = args.length > 2;
    if (few && args[2].equals("look")) {
      look(perPlace, services);
      return;
    }
    List<Way> ways = new ArrayList<>(List.of(new Way(0, 1, false), new Way(0, 0.1, false)));
    for (double step : few ? new double[] {0.05} : new double[] {0.01, 0.05, 0.2}) {
      for (double budget : few ? new double[] {0.02} : new double[] {0.01, 0.02, 0.1}) {
        ways.add(new Way(step, budget, true));
        ways.add(new Way(step, budget, false));
      }
    }
    if (few && args[2].equals("one")) {
      ways.removeIf(w -> !w.beyond());
    }
    System.out.println(
        "| way | machines | minutes | replica s out | worst 30 s | CPU s thrown away | money | puts |");
    ways.parallelStream().map(w -> play(w, perPlace, services)).forEachOrdered(System.out::println);
  }

  /** Processor time of one scrape of the metrics, which looks at all attempts several times. */
  private static void look(int perPlace, int services) {
    SimulatedCluster w = begun(new Way(0.05, 0.1, true), perPlace, services);
    int attempts = w.cloud.machines().stream().mapToInt(m -> m.gone() ? 0 : m.tasks().size()).sum();
    Histogram micros = new Histogram(60_000_000, 3);
    for (int i = 0; i < 400; i++) {
      w.run(50);
      long at = System.nanoTime();
      w.leader().ask("GET", "/metrics", r -> {});
      if (i >= 100) {
        micros.recordValue((System.nanoTime() - at) / 1000);
      }
    }
    System.out.printf(
        "%d attempts: median %d, 99 of 100 %d microseconds%n",
        attempts, micros.getValueAtPercentile(50), micros.getValueAtPercentile(99));
  }

  private static SimulatedCluster begun(Way way, int perPlace, int services) {
    SimulatedCluster w =
        new SimulatedCluster(
            4711, new SimulatedCluster.Size(perPlace, 8.0 * perPlace * 3, 1_000_000, 1), true);
    w.net.loss = 0;
    w.users.quiet = true;
    DisruptionBudgets.DisruptionBudget d = DisruptionBudgets.USUAL.others();
    w.operatorSettings =
        OperatorSettings.defaults()
            .withBudgets(
                new DisruptionBudgets(
                    Map.of(),
                    new DisruptionBudgets.DisruptionBudget(
                        Integer.MAX_VALUE, way.budget, 1, 1, d.arrayTasks(), d.lostCpuS())));
    w.nodes.forEach(n -> n.crash(1000));
    w.run(8000);
    for (int i = 0; i < services; i++) {
      w.users.service(i % 2 == 0 ? "one" : "two", REPLICAS);
      if (i % 10 == 9) {
        w.run(1000);
      }
    }
    load(w, new boolean[] {true});
    w.run(150_000);
    return w;
  }

  /** Arrays that save and arrays that do not, as long as the day lasts. */
  static void load(SimulatedCluster w, boolean[] busy) {
    if (!busy[0]) {
      return;
    }
    boolean saves = w.sim.chance(0.5);
    w.users.changed(
        w.sim.chance(0.5) ? "one" : "two",
        60,
        w.sim.between(20, 60),
        b -> b.put("snapshotEveryS", saves ? 10.0 : 0.0).put("snapshotS", saves ? 1.0 : 0.0));
    w.sim.after(4000, () -> load(w, busy));
  }

  private static String play(Way way, int perPlace, int services) {
    SimulatedCluster w = begun(way, perPlace, services);
    Set<String> old = ReplacementTest.machineIds(w);
    long puts = w.state.puts();
    double thrown = thrown(w);
    if (way.step == 0) {
      for (String zone : SimulatedCluster.ZONES) {
        for (EmulatedWorker m : List.copyOf(w.cloud.machines())) {
          if (m.zone().equals(zone) && old.contains(m.id())) {
            OperatorsTest.sendRequest(
                w,
                0,
                "POST",
                "/v1/machines/" + m.id() + "/drain",
                Json.object().put("return", true),
                r -> {});
            w.run(20);
          }
        }
      }
    } else {
      int step = (int) Math.ceil(way.step * old.size());
      OperatorsTest.submitOrder(
          w,
          "/v1/replacements/night/start",
          Json.object()
              .put("older_s", 0.001)
              .put("step", step)
              .put("beyond", way.beyond ? step : 0));
    }
    return measured(way, w, old, services * REPLICAS, puts, thrown);
  }

  private static String measured(
      Way way, SimulatedCluster w, Set<String> old, int wanted, long puts, double thrown) {
    long began = w.sim.now();
    double out = 0;
    double worst = 0;
    double money = 0;
    ArrayDeque<Double> window = new ArrayDeque<>();
    double inWindow = 0;
    int left = old.size();
    while (left > 0 && w.sim.now() - began < MOST_MS) {
      w.run(SAMPLE_MS);
      double missing = Math.max(0, wanted - running(w)) * SAMPLE_MS / 1000.0;
      out += missing;
      window.add(missing);
      inWindow += missing - (window.size() > 60 ? window.poll() : 0);
      worst = Math.max(worst, inWindow / (30.0 * wanted));
      left = 0;
      for (EmulatedWorker m : w.cloud.machines()) {
        if (!m.gone()) {
          left += old.contains(m.id()) ? 1 : 0;
          money += (m.spot() ? SPOT : STEADY) * SAMPLE_MS / 3_600_000.0;
        }
      }
    }
    return String.format(
        Locale.ROOT,
        "| %s | %d | %s | %.0f | %.4f | %.0f | %.1f | %d |",
        way.name(),
        old.size(),
        left > 0
            ? left + " left after " + MOST_MS / 60_000
            : String.format(Locale.ROOT, "%.1f", (w.sim.now() - began) / 60_000.0),
        out,
        1 - worst,
        thrown(w) - thrown,
        money,
        w.state.puts() - puts);
  }

  private static double thrown(SimulatedCluster w) {
    return w.checker.thrownAwayCpuS.values().stream().mapToDouble(d -> d).sum();
  }

  private static int running(SimulatedCluster w) {
    int n = 0;
    for (EmulatedWorker m : w.cloud.machines()) {
      if (!m.gone()) {
        for (EmulatedTask t : m.tasks()) {
          n += t.onMachine() && t.service() ? 1 : 0;
        }
      }
    }
    return n;
  }
}
