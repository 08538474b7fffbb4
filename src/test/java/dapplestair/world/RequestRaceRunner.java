package dapplestair.world;

import dapplestair.world.LostResponsesTest.Put;
import dapplestair.world.LostResponsesTest.Sender;
import dapplestair.world.MonotonicReadsTest.Behind;

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
      Behind behind = Behind.values()[(int) (testSeed % Behind.values().length)];
      Put put = Put.values()[(int) (testSeed % Put.values().length)];
      Sender sender = Sender.values()[(int) (testSeed / 2 % Sender.values().length)];
      LastTaskEndTest.Step step = LastTaskEndTest.Step.values()[(int) (testSeed % 4)];
      runScenario(
          "%d %s %d".formatted(testSeed, behind, offsetMs),
          () -> new MonotonicReadsTest().nobodyIsToldAnythingOlder(testSeed, behind, offsetMs));
      runScenario(
          "%d %s %s".formatted(testSeed, put, sender),
          () -> new LostResponsesTest().onlyTheAnswerIsLost(testSeed, put, sender));
      runScenario(
          "%d %s %d".formatted(testSeed, step, offsetMs),
          () -> new LastTaskEndTest().aRequestMeetsTheEnd(testSeed, step, offsetMs));
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
