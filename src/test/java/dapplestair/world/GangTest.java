package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A gang of which one member is stopped or lost: the others do not run on without it. */
class GangTest {
  private static final int MEMBERS = 6;
  private static final double RUN_S = 60;
  private static final long LOOK_MS = 50_000;
  private static final long STEP_MS = 500;

  /** Within which the others are stopped and saved, once it is known that one is missing. */
  private static final long STOPPED_MS = 10_000;

  private static List<EmulatedWorker> machinesOf(SimulatedCluster w, SimulatedUsers.KnownJob gang) {
    return w.cloud.machines().stream()
        .filter(m -> !m.isGone() && m.tasks().stream().anyMatch(t -> member(gang, t)))
        .toList();
  }

  private static boolean member(SimulatedUsers.KnownJob gang, EmulatedTask task) {
    return task.isOnMachine() && task.key().startsWith(gang.ref + "/");
  }

  private static long running(SimulatedCluster w, SimulatedUsers.KnownJob gang) {
    return machinesOf(w, gang).stream()
        .flatMap(m -> m.tasks().stream())
        .filter(t -> member(gang, t))
        .count();
  }

  /** For how long some of it, but not all, is on machines until it has begun anew as a whole. */
  private static long incompleteMs(SimulatedCluster w, SimulatedUsers.KnownJob gang) {
    int starts = gang.starts;
    long sum = 0;
    for (long t = 0; t < LOOK_MS && (gang.starts == starts || running(w, gang) < MEMBERS); ) {
      w.run(STEP_MS);
      t += STEP_MS;
      long members = running(w, gang);
      sum += members > 0 && members < MEMBERS ? STEP_MS : 0;
    }
    assertEquals(starts + MEMBERS, gang.starts, "it has not begun anew as a whole");
    return sum;
  }

  @ParameterizedTest(name = "seed {0}, saves: {1}, a member is {2}, the leader ends: {3}")
  @CsvSource({
    "9601,false,lost,false",
    "9602,true,lost,false",
    "9603,true,lost,true",
    "9604,false,stopped,false",
    "9605,true,stopped,false",
    "9606,true,stopped,true"
  })
  void theOthersDoNotRunOnWithoutIt(long seed, boolean saves, String how, boolean leaderEnds) {
    SimulatedCluster w = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    w.network.lossProbability = 0;
    w.users.submissionsStopped = true;
    w.cloud.setCapacityShare(0.25);
    w.run(5000);
    w.users.submitArray("two", "low", 60, 3);
    SimulatedUsers.KnownJob gang =
        w.users.submitModifiedArray(
            "one",
            MEMBERS,
            RUN_S,
            b ->
                b.put("shape", "gang")
                    .put("rank", "low")
                    .put("vcpus", 4.0)
                    .put("loaners", false)
                    .put("snapshotEveryS", saves ? 5.0 : 0.0)
                    .put("snapshotS", saves ? 1.0 : 0.0));
    w.run(30_000);
    assertEquals(MEMBERS, running(w, gang), "the gang does not run");
    if (how.equals("lost")) {
      machinesOf(w, gang).get(0).powerOff();
    } else {
      // Replicas that take all steady room, and what the gang has of it.
      w.users.submitModifiedArray(
          "two",
          8,
          0,
          b ->
              b.put("shape", "daemon")
                  .put("rank", "critical")
                  .put("vcpus", 8.0)
                  .put("loaners", false)
                  .put("jobclass", "wide"));
    }
    if (leaderEnds) {
      w.run(2000);
      w.leader().crash(2000);
    }
    long incomplete = incompleteMs(w, gang);
    // A machine that ended is noticed after some reports.
    long most = STOPPED_MS + (how.equals("lost") ? 3 * SimulatedCluster.REPORT_INTERVAL_MS : 0);
    assertTrue(incomplete <= most, "without a member for " + incomplete + " ms");
    SeededDaysTest.settle(w);
    assertTrue(gang.done, "the gang is not done");
  }
}
