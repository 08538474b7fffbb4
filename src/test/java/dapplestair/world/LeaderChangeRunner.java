package dapplestair.world;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

/**
 * Runs more leader changes than fit into a build: {@code LeaderChangeRunner FROM TO} runs these
 * seeds, prints each that broke a rule, and counts late starts and resumptions that the rules
 * permit.
 */
final class LeaderChangeRunner {
  private static final long[] OFFSETS_MS = {-1500, -400, -30, -5, 0, 5, 30, 400, 1700, 3000};
  private static final String[] LINK_STATES = {"whole", "refused", "held"};

  private final List<String> failures = new ArrayList<>();
  private int runs;
  private int startsAfterCancellation;
  private int resumedAfterCancellation;

  private static <T> T pick(T[] values, long number) {
    return values[(int) (number % values.length)];
  }

  private void runScenarios(
      String scenarioName, long seed, LongFunction<SimulatedCluster> scenario) {
    try {
      SimulatedCluster cluster = scenario.apply(seed);
      startsAfterCancellation += cluster.checker.startsAfterCancellation;
      resumedAfterCancellation += cluster.checker.resumedAfterCancellation;
    } catch (AssertionError e) {
      failures.add(scenarioName);
      System.out.printf("%s, seed %d: %s%n", scenarioName, seed, e.getMessage());
    }
    runs++;
  }

  private void runScenarios(long seed) {
    MachineFault fault = pick(MachineFault.values(), seed);
    LeaderChange change = pick(LeaderChange.values(), seed / 7);
    long offsetMs = OFFSETS_MS[(int) (seed / 3 % OFFSETS_MS.length)];
    RefusedThenOutageTest.CancelTarget requestKind =
        pick(RefusedThenOutageTest.CancelTarget.values(), seed / 10);
    long requestOffsetMs = Math.min(offsetMs, 900);
    runScenarios(
        "limits",
        seed,
        s -> TeamLimitsTest.runScenario(s, fault, change, Math.max(-1500, offsetMs)));
    runScenarios("handover", seed, s -> HandoverTest.run(s, change, Math.max(-400, offsetMs)));
    runScenarios(
        "refused",
        seed,
        s ->
            RefusedThenOutageTest.runScenario(
                s, requestKind, requestOffsetMs, pick(LINK_STATES, s), 1700));
    long outageMs = seed % 2 * 8000;
    runScenarios(
        "leaders", seed, s -> ManyLeadersTest.runScenario(s, fault, (int) (s % 5), outageMs));
  }

  public static void main(String[] args) {
    LeaderChangeRunner runner = new LeaderChangeRunner();
    for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
      runner.runScenarios(seed);
    }
    System.out.printf(
        "%d days, %d failed, %d starts after a confirmed cancellation, %d cancelled tasks on "
            + "machines that went on%n",
        runner.runs,
        runner.failures.size(),
        runner.startsAfterCancellation,
        runner.resumedAfterCancellation);
  }
}
