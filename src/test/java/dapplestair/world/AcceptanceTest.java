package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How soon submissions are accepted while the state service serves only in part. */
class AcceptanceTest {
  private static final int SUBMISSIONS = 60;
  private static final long SOON_MS = 1000;

  private static World begun(long seed) {
    World w = DisruptionTest.begun(seed, 5, 5);
    w.checker.budget = null;
    w.users.quiet = true;
    return w;
  }

  /** Submits small jobs at a steady pace; returns the share that was accepted soon. */
  private static double soonAccepted(World w) {
    List<Users.Told> jobs = new ArrayList<>();
    for (int i = 0; i < SUBMISSIONS; i++) {
      jobs.add(w.users.array("one", "high", 1, 2));
      w.run(w.sim.between(200, 600));
    }
    w.run(10_000);
    long soon =
        jobs.stream().filter(j -> j.accepted && j.acceptedAt - j.submittedAt <= SOON_MS).count();
    return (double) soon / SUBMISSIONS;
  }

  /** A transaction whose answer is lost is repeated at once, not after the longest time-out. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {7101, 7102, 7103, 7104})
  void lostAnswersDelayNobodyForLong(long seed) {
    World w = begun(seed);
    w.net.lateWrites = 0.25;
    double soon = soonAccepted(w);
    w.net.lateWrites = 0;
    assertTrue(soon >= 0.9, "accepted within a second: " + soon);
    SeededDaysTest.settle(w);
  }
}
