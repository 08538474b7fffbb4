package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** One member of a gang is stopped or lost: the other members do not run on without it. */
class GangTest {
  private static final int MEMBERS = 6;
  private static final double RUN_S = 60;
  private static final long OBSERVATION_MS = 50_000;
  private static final long STEP_MS = 500;

  /**
   * Time within which the other members are stopped and saved, once a member is known to be
   * missing.
   */
  private static final long MAX_STOP_MS = 10_000;

  private static List<EmulatedWorker> machinesOf(
      SimulatedCluster cluster, SimulatedUsers.KnownJob gang) {
    return cluster.cloud.machines().stream()
        .filter(m -> !m.isGone() && m.tasks().stream().anyMatch(t -> isRunningMember(gang, t)))
        .toList();
  }

  private static boolean isRunningMember(SimulatedUsers.KnownJob gang, EmulatedTask task) {
    return task.isOnMachine() && task.key().startsWith(gang.ref + "/");
  }

  private static long countRunningMembers(SimulatedCluster cluster, SimulatedUsers.KnownJob gang) {
    return machinesOf(cluster, gang).stream()
        .flatMap(m -> m.tasks().stream())
        .filter(t -> isRunningMember(gang, t))
        .count();
  }

  /**
   * Returns for how long some members, but not all, are on machines until the gang has started
   * again as a whole.
   */
  private static long measureIncompleteMs(SimulatedCluster cluster, SimulatedUsers.KnownJob gang) {
    int startsBefore = gang.starts;
    long incompleteMs = 0;
    for (long elapsedMs = 0;
        elapsedMs < OBSERVATION_MS
            && (gang.starts == startsBefore || countRunningMembers(cluster, gang) < MEMBERS); ) {
      cluster.run(STEP_MS);
      elapsedMs += STEP_MS;
      long members = countRunningMembers(cluster, gang);
      incompleteMs += members > 0 && members < MEMBERS ? STEP_MS : 0;
    }
    assertEquals(
        startsBefore + MEMBERS,
        gang.starts,
        "starts of the gang, which did not start again as a whole");
    return incompleteMs;
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
  void theOtherMembersDoNotRunOnWithoutTheMissingOne(
      long seed, boolean savesSnapshots, String memberFault, boolean leaderEnds) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.cloud.setCapacityShare(0.25);
    cluster.run(5000);
    cluster.users.submitArray("two", "low", 60, 3);
    SimulatedUsers.KnownJob gang =
        cluster.users.submitModifiedArray(
            "one",
            MEMBERS,
            RUN_S,
            b ->
                b.put("shape", "gang")
                    .put("rank", "low")
                    .put("vcpus", 4.0)
                    .put("loaners", false)
                    .put("snapshotEveryS", savesSnapshots ? 5.0 : 0.0)
                    .put("snapshotS", savesSnapshots ? 1.0 : 0.0));
    cluster.run(30_000);
    assertEquals(MEMBERS, countRunningMembers(cluster, gang), "running members of the gang");
    if (memberFault.equals("lost")) {
      machinesOf(cluster, gang).get(0).powerOff();
    } else {
      // These replicas take all free capacity of steady machines, and the part of it that the gang
      // uses.
      cluster.users.submitModifiedArray(
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
      cluster.run(2000);
      cluster.leader().crash(2000);
    }
    long incompleteMs = measureIncompleteMs(cluster, gang);
    // The end of a machine is noticed after several missing reports.
    long maxIncompleteMs =
        MAX_STOP_MS + (memberFault.equals("lost") ? 3 * SimulatedCluster.REPORT_INTERVAL_MS : 0);
    assertTrue(
        incompleteMs <= maxIncompleteMs,
        "some members ran without the others for " + incompleteMs + " ms");
    SeededDaysTest.settle(cluster);
    assertTrue(gang.done, "the gang is not done");
  }
}
