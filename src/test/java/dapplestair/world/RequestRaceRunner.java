package dapplestair.world;

import dapplestair.world.LostResponsesTest.Sender;
import dapplestair.world.LostResponsesTest.TransactionKind;
import dapplestair.world.MonotonicReadsTest.LagCause;

/**
 * Plays more meetings of users' answers than a build has time for: {@code RequestRaceRunner FROM
 * TO} plays each kind with these seeds and prints each play that failed.
 */
final class RequestRaceRunner {
  private static final long[] MOVES_MS = {0, 2, 8, 25, 90, 300, 1300};

  private static int plays;
  private static int failed;

  private RequestRaceRunner() {}

  public static void main(String[] args) {
    long to = Long.parseLong(args[1]);
    for (long seed = Long.parseLong(args[0]); seed <= to; seed++) {
      long s = seed;
      long move = MOVES_MS[(int) (s % MOVES_MS.length)];
      LagCause behind = LagCause.values()[(int) (s % LagCause.values().length)];
      TransactionKind put = TransactionKind.values()[(int) (s % TransactionKind.values().length)];
      Sender sender = Sender.values()[(int) (s / 2 % Sender.values().length)];
      LastTaskEndTest.Step step = LastTaskEndTest.Step.values()[(int) (s % 4)];
      play(
          "%d %s %d".formatted(s, behind, move),
          () -> new MonotonicReadsTest().readsNeverGoBackwards(s, behind, move));
      play(
          "%d %s %s".formatted(s, put, sender),
          () -> new LostResponsesTest().transactionsWithLostResponses(s, put, sender));
      play(
          "%d %s %d".formatted(s, step, move),
          () -> new LastTaskEndTest().requestsAroundTheEndOfAJob(s, step, move));
      play("%d odd".formatted(s), () -> new InvalidRequestsTest().oddRequestsGetTheirAnswers(s));
    }
    System.out.printf("%d plays, %d failed%n", plays, failed);
  }

  private static void play(String what, Runnable day) {
    plays++;
    try {
      day.run();
    } catch (AssertionError e) {
      failed++;
      System.out.println(what + ": " + e.getMessage());
    }
  }
}
