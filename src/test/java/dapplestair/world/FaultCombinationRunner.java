package dapplestair.world;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs more fault combinations than fit into a build: {@code FaultCombinationRunner FROM TO} runs
 * these seeds and prints each that broke a rule; {@code FaultCombinationRunner FROM TO machines}
 * runs machine faults instead.
 */
final class FaultCombinationRunner {
  private FaultCombinationRunner() {}

  public static void main(String[] args) {
    long firstSeed = Long.parseLong(args[0]);
    long lastSeed = Long.parseLong(args[1]);
    List<String> failures = new ArrayList<>();
    for (long seed = firstSeed; seed <= lastSeed; seed++) {
      if (seed % 25 == 0) {
        System.out.println("at seed " + seed);
      }
      try {
        if (args.length > 2 && args[2].equals("machines")) {
          FaultCombinationTest.runMachineFaults(seed);
        } else {
          FaultCombinationTest.run(seed);
        }
      } catch (AssertionError e) {
        failures.add(e.getMessage());
        System.out.println(e.getMessage());
      }
    }
    System.out.printf("%d seeds, %d failed%n", lastSeed - firstSeed + 1, failures.size());
  }
}
