package dapplestair.world;

import java.util.ArrayList;
import java.util.List;

/**
 * Plays more meetings than a build has time for: {@code FaultCombinationRunner FROM TO} plays these
 * seeds and prints each that broke a rule; {@code FaultCombinationRunner FROM TO machines} plays
 * troubles with machines.
 */
final class FaultCombinationRunner {
  private FaultCombinationRunner() {}

  public static void main(String[] args) {
    long from = Long.parseLong(args[0]);
    long to = Long.parseLong(args[1]);
    List<String> broken = new ArrayList<>();
    for (long seed = from; seed <= to; seed++) {
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
        broken.add(e.getMessage());
        System.out.println(e.getMessage());
      }
    }
    System.out.printf("%d seeds, %d failed%n", to - from + 1, broken.size());
  }
}
