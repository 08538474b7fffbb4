package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two and three overlapping faults, placed at the steps of a leader change, while many jobs of one
 * to three tasks are cancelled (docs/meetings.md). {@link FaultCombinationRunner} runs more seeds
 * than this class.
 */
class FaultCombinationTest {
  private static final int ROUNDS = 5;

  /** Jobs of at most three tasks. */
  static final SimulatedCluster.Size SHORT_JOBS = new SimulatedCluster.Size(4, 20, 1100, 3);

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {9001, 9002, 9003, 9004, 9005, 9006, 9007, 9008, 9009, 9010, 9011, 9012})
  void faultsOverlapWithLeaderChanges(long seed) {
    run(seed);
  }

  /**
   * The faults include machines whose reports are lost, late commands, machines that boot fast with
   * late writes, and stale reports.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {9101, 9102, 9103, 9104})
  void machineFaultsOverlapWithLeaderChanges(long seed) {
    runMachineFaults(seed);
  }

  static void run(long seed) {
    run(new SimulatedCluster(seed, SHORT_JOBS), seed, RandomFaults::injectAny);
  }

  static void runMachineFaults(long seed) {
    run(new SimulatedCluster(seed, SHORT_JOBS), seed, RandomFaults::injectMachineFault);
  }

  static void run(SimulatedCluster cluster, long seed, Consumer<RandomFaults> injectFault) {
    try {
      cluster.users.cancelledArrayShare = 0.5;
      RandomFaults faults = new RandomFaults(cluster);
      cluster.run(15_000);
      for (int i = 0; i < ROUNDS; i++) {
        startLeaderChange(cluster, faults);
        int additionalFaults = (int) cluster.sim.between(1, 2);
        for (int k = 0; k < additionalFaults; k++) {
          cluster.run(faultOffsetMs(cluster));
          injectFault.accept(faults);
        }
        cancelSomeJobs(cluster);
        cluster.run(cluster.sim.between(8000, 40_000));
      }
      cluster.run(RandomFaults.MAX_DURATION_MS);
      cluster.state.endOutage();
      SeededDaysTest.settle(cluster);
    } catch (AssertionError e) {
      throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
    }
  }

  /**
   * Returns a random time within a message delay, a put, a hold, a report interval or a lease,
   * since each has its own step in a leader change.
   */
  private static long faultOffsetMs(SimulatedCluster cluster) {
    long[] maxOffsetsMs = {
      30,
      400,
      SimulatedCluster.LEASE_MS / 10,
      SimulatedCluster.REPORT_INTERVAL_MS,
      SimulatedCluster.LEASE_MS
    };
    return cluster.sim.between(
        0, maxOffsetsMs[(int) cluster.sim.between(0, maxOffsetsMs.length - 1)]);
  }

  private static void startLeaderChange(SimulatedCluster cluster, RandomFaults faults) {
    SimulatedCluster.ControllerNode leader =
        cluster.leader() == null ? cluster.nodes.get(0) : cluster.leader();
    String name = "node-" + leader.index;
    long faultMs = cluster.sim.between(1500, RandomFaults.MAX_DURATION_MS);
    switch ((int) cluster.sim.between(0, 7)) {
      case 0 -> leader.crash(cluster.sim.between(60, 900));
      case 1 -> leader.crash(cluster.sim.between(2000, 6000));
      case 2 -> cluster.nodes.forEach(n -> n.crash(cluster.sim.between(60, 4000)));
      case 3 -> faults.isolateFromPeersAndState(leader, cluster.sim.chance(0.5), faultMs);
      case 4 -> {
        // The state service refuses this leader, and then everybody, for longer than cancelled
        // tasks may live.
        cluster.state.setRefused(name, true);
        cluster.sim.after(cluster.sim.between(200, 4000), cluster.state::beginOutage);
        long outageMs =
            cluster.sim.chance(0.3) ? SimulatedCluster.CANCEL_DEADLINE_MS * 5 / 4 : faultMs;
        cluster.sim.after(4000 + outageMs, cluster.state::endOutage);
        cluster.sim.after(
            cluster.sim.between(2000, 4000 + outageMs),
            () -> cluster.state.setRefused(name, false));
      }
      case 5 -> leader.freeze(faultMs);
      case 6 -> {
        // The leader ends while some machines with tasks are unreachable for all, or receive
        // nothing.
        for (EmulatedWorker m : List.copyOf(cluster.cloud.machines())) {
          if (cluster.sim.chance(0.3)) {
            m.cutInbound(faultMs);
          } else if (cluster.sim.chance(0.2)) {
            m.hang(Math.min(faultMs, SimulatedCluster.LEASE_MS * 9 / 10));
          }
        }
        cluster.run(cluster.sim.between(0, 2000));
        leader.crash(cluster.sim.between(60, 4000));
      }
      default -> {
        // The leadership changes to another controller and back.
        leader.crash(cluster.sim.between(60, 500));
        cluster.sim.after(
            cluster.sim.between(300, 2500),
            () -> cluster.nodes.get((leader.index + 1) % 3).crash(cluster.sim.between(60, 500)));
      }
    }
  }

  /** Cancels about a third of the jobs that their users still wait for. */
  private static void cancelSomeJobs(SimulatedCluster cluster) {
    for (SimulatedUsers.KnownJob job : new ArrayList<>(cluster.users.jobs.values())) {
      if (job.accepted && !job.done && !job.cancelRequested && cluster.sim.chance(0.33)) {
        cluster.users.cancel(job);
      }
    }
    assertTrue(cluster.users.jobs.size() > 5, "too few jobs were submitted");
  }
}
