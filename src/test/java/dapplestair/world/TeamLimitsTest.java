package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Every team is at its limit, and jobs wait for each CPU that a cancelled task frees, while the
 * machines of cancelled tasks have faults and the leader changes. If the usage of a team is counted
 * too low, or freed too early, a task starts that breaks {@code quota}.
 */
class TeamLimitsTest {
  private static final List<String> TEAMS = List.of("one", "two");
  private static final SimulatedCluster.Size SMALL_LIMITS =
      new SimulatedCluster.Size(16, 50, 2150, 12);

  /**
   * A cluster with jobs to be cancelled, jobs to be kept, and more work than the limits of the
   * teams allow.
   */
  static final class FullClusterScenario {
    final CancellationOutageTest.Scenario day;
    final SimulatedCluster cluster;

    FullClusterScenario(long seed) {
      day = new CancellationOutageTest.Scenario(startCluster(seed));
      cluster = day.cluster;
      TEAMS.forEach(team -> cluster.users.submitArray(team, "low", 60, 20));
      cluster.run(8000);
      for (String team : TEAMS) {
        assertTrue(
            usedCpus(team) > SMALL_LIMITS.maxTeamCpus() - 8,
            team + " uses " + usedCpus(team) + " CPUs only");
      }
    }

    private static SimulatedCluster startCluster(long seed) {
      SimulatedCluster cluster = new SimulatedCluster(seed, SMALL_LIMITS, true);
      cluster.network.lossProbability = 0;
      cluster.users.submissionsStopped = true;
      for (int i = 0; i < 8; i++) {
        TEAMS.forEach(team -> cluster.users.submitService(team, 3));
      }
      cluster.run(30_000);
      return cluster;
    }

    double usedCpus(String team) {
      double sum = 0;
      for (SimulatedUsers.KnownJob job : cluster.users.jobs.values()) {
        sum += job.team.equals(team) ? job.cpus * day.running(job) : 0;
      }
      return sum;
    }

    /** Cancels the jobs; users repeat the request until it is confirmed. */
    void cancelJobs() {
      day.cancelled.forEach(cluster.users::cancel);
    }

    /**
     * Runs until the faults are over, and checks that cancelled tasks are gone and all other jobs
     * end.
     */
    void settle() {
      day.cancelled.forEach(t -> assertTrue(t.aborted || !t.accepted, t.ref + " is not cancelled"));
      cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS);
      assertEquals(0, day.running(day.cancelled), "cancelled tasks still run");
      cluster.run(30_000);
      SeededDaysTest.settle(cluster);
    }
  }

  /**
   * Jobs are cancelled while machines already have faults; the leader changes around that moment.
   */
  @ParameterizedTest(name = "seed {0}, {1}, {2} at {3} ms")
  @CsvSource({
    "11001,CUT,CRASH,30",
    "11002,CUT,PLANNED,-1500",
    "11003,HELD,FROZEN,0",
    "11004,HELD,THERE_AND_BACK,400",
    "11005,UNASKED,CRASH,-1500",
    "11006,UNASKED,PLANNED,1500",
    "11007,UNASKED,ALONE,0",
    "11008,MUTE,BACK_AT_ONCE,30",
    "11009,MUTE,CRASH,1500",
    "11010,DEAF,PLANNED,30",
    "11011,DEAF,REFUSED,-1500",
    "11012,HANG,CRASH,30",
    "11013,HANG,THERE_AND_BACK,0",
    "11014,HANG,ALONE,400",
    "11015,STALL,CRASH,12000",
    "11016,STALL,PLANNED,24000",
    "11017,STALL,FROZEN,400"
  })
  void jobsAreCancelledAtTheTeamLimit(
      long seed, MachineFault fault, LeaderChange change, long afterMs) {
    runScenario(seed, fault, change, afterMs);
  }

  static SimulatedCluster runScenario(
      long seed, MachineFault fault, LeaderChange change, long afterMs) {
    FullClusterScenario scenario = new FullClusterScenario(seed);
    int startedBefore = scenario.cluster.checker.startCount;
    scenario.cluster.sim.after(1500 + afterMs, () -> change.inject(scenario.cluster));
    scenario.day.injectFaultOnEverySecondMachine(
        fault, SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2);
    scenario.cluster.run(1500);
    scenario.cancelJobs();
    scenario.cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS);
    assertTrue(
        scenario.cluster.checker.startCount > startedBefore + 5, "waiting jobs do not start");
    scenario.cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS);
    scenario.settle();
    return scenario.cluster;
  }
}
