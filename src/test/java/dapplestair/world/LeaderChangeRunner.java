package dapplestair.world;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

/**
 * Plays more changes of the leader than a build has time for: {@code LeaderChangeRunner FROM TO}
 * plays these seeds, prints each that broke a rule, and counts what rules permit.
 */
final class LeaderChangeRunner {
  private static final long[] OFFSETS_MS = {-1500, -400, -30, -5, 0, 5, 30, 400, 1700, 3000};
  private static final String[] LINKS = {"whole", "refused", "held"};

  private final List<String> broken = new ArrayList<>();
  private int played;
  private int startsAfterCancellation;
  private int resumedAfterCancellation;

  private static <T> T pick(T[] of, long n) {
    return of[(int) (n % of.length)];
  }

  private void play(String what, long seed, LongFunction<SimulatedCluster> day) {
    try {
      SimulatedCluster w = day.apply(seed);
      startsAfterCancellation += w.checker.startsAfterCancellation;
      resumedAfterCancellation += w.checker.resumedAfterCancellation;
    } catch (AssertionError e) {
      broken.add(what);
      System.out.printf("%s, seed %d: %s%n", what, seed, e.getMessage());
    }
    played++;
  }

  private void play(long seed) {
    MachineFault fault = pick(MachineFault.values(), seed);
    LeaderChange change = pick(LeaderChange.values(), seed / 7);
    long offset = OFFSETS_MS[(int) (seed / 3 % OFFSETS_MS.length)];
    RefusedThenOutageTest.CancelTarget asked =
        pick(RefusedThenOutageTest.CancelTarget.values(), seed / 10);
    long askedMs = Math.min(offset, 900);
    play(
        "limits", seed, s -> TeamLimitsTest.runScenario(s, fault, change, Math.max(-1500, offset)));
    play("handover", seed, s -> HandoverTest.play(s, change, Math.max(-400, offset)));
    play(
        "refused",
        seed,
        s -> RefusedThenOutageTest.runScenario(s, asked, askedMs, pick(LINKS, s), 1700));
    long outMs = seed % 2 * 8000;
    play("leaders", seed, s -> ManyLeadersTest.runScenario(s, fault, (int) (s % 5), outMs));
  }

  public static void main(String[] args) {
    LeaderChangeRunner meetings = new LeaderChangeRunner();
    for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
      meetings.play(seed);
    }
    System.out.printf(
        "%d days, %d failed, %d starts after a confirmed cancellation, %d cancelled tasks on "
            + "machines that went on%n",
        meetings.played,
        meetings.broken.size(),
        meetings.startsAfterCancellation,
        meetings.resumedAfterCancellation);
  }
}
