package dapplestair.world;

import dapplestair.world.LostResponsesTest.Sender;
import dapplestair.world.LostResponsesTest.TransactionKind;
import dapplestair.world.MonotonicReadsTest.LagCause;

/**
 * Runs more request races than fit into a build: {@code RequestRaceRunner FROM TO} runs each kind
 * with these seeds and prints each run that failed.
 */
final class RequestRaceRunner {
  private static final long[] OFFSETS_MS = {0, 2, 8, 25, 90, 300, 1300};

  private static int runs;
  private static int failures;

  private RequestRaceRunner() {}

  public static void main(String[] args) {
    long lastSeed = Long.parseLong(args[1]);
    for (long seed = Long.parseLong(args[0]); seed <= lastSeed; seed++) {
      long testSeed = seed;
      long offsetMs = OFFSETS_MS[(int) (testSeed % OFFSETS_MS.length)];
      LagCause behind = LagCause.values()[(int) (testSeed % LagCause.values().length)];
      TransactionKind put =
          TransactionKind.values()[(int) (testSeed % TransactionKind.values().length)];
      Sender sender = Sender.values()[(int) (testSeed / 2 % Sender.values().length)];
      LastTaskEndTest.Step step = LastTaskEndTest.Step.values()[(int) (testSeed % 4)];
      runScenario(
          "%d %s %d".formatted(testSeed, behind, offsetMs),
          () -> new MonotonicReadsTest().readsNeverGoBackwards(testSeed, behind, offsetMs));
      runScenario(
          "%d %s %s".formatted(testSeed, put, sender),
          () -> new LostResponsesTest().transactionsWithLostResponses(testSeed, put, sender));
      runScenario(
          "%d %s %d".formatted(testSeed, step, offsetMs),
          () -> new LastTaskEndTest().requestsAroundTheEndOfAJob(testSeed, step, offsetMs));
      runScenario(
          "%d odd".formatted(testSeed),
          () ->
              new InvalidRequestsTest().invalidAndRepeatedRequestsGetTheExpectedAnswers(testSeed));
    }
    System.out.printf("%d plays, %d failed%n", runs, failures);
  }

  private static void runScenario(String description, Runnable scenario) {
    runs++;
    try {
      scenario.run();
    } catch (AssertionError e) {
      failures++;
      System.out.println(description + ": " + e.getMessage());
    }
  }
}
