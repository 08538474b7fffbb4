package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Zones are cut off, leaders crash meanwhile, and machines hang. Replicas are restored soon after
 * they are lost, no machine is returned that will be reachable again, and the invariants hold after
 * every step.
 */
class SilenceTest {
  /** The only zone without a controller. */
  private static final String CUT_ZONE = "c";

  private static final long CUT_MS = SimulatedCluster.LEASE_MS * 8 / 5;

  private static final int REPLICAS = 120;

  /** Starts a cluster with services of three replicas, one in each zone, and an array. */
  private static SimulatedCluster startCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    for (int i = 0; i < REPLICAS / 6; i++) {
      cluster.users.submitService("one", 3);
      cluster.users.submitService("two", 3);
    }
    cluster.users.submitArray("one", "high", 60, 15);
    cluster.run(40_000);
    assertEquals(REPLICAS, replicaCount(cluster, m -> true), "replicas at the beginning");
    return cluster;
  }

  private static int replicaCount(SimulatedCluster cluster, Predicate<EmulatedWorker> filter) {
    int count = 0;
    for (EmulatedWorker m : cluster.cloud.machines()) {
      if (!m.isGone() && filter.test(m)) {
        count += (int) m.tasks().stream().filter(SilenceTest::isRunningReplica).count();
      }
    }
    return count;
  }

  private static boolean isRunningReplica(EmulatedTask task) {
    return task.isOnMachine() && task.status().equals("running") && task.isService();
  }

  /**
   * Runs the cluster for {@code ms} and returns the sum of seconds for which replicas were missing.
   */
  private static double missingReplicaSeconds(SimulatedCluster cluster, long ms) {
    double missingSeconds = 0;
    for (long t = 0; t < ms; t += 500) {
      cluster.run(500);
      missingSeconds += 0.5 * Math.max(0, REPLICAS - replicaCount(cluster, m -> true));
    }
    return missingSeconds;
  }

  /**
   * The leader crashes at some second of a cut. The next leader knows from the last liveness report
   * since when the zone has been silent; if it counted from the beginning of its own term, replicas
   * would be missing until the cut ends.
   */
  @ParameterizedTest(name = "leader ends at second {0} of the cut")
  @ValueSource(
      longs = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22})
  void aNewLeaderKnowsHowLongAZoneHasBeenSilent(long leaderCrashS) {
    SimulatedCluster cluster = startCluster(800 + leaderCrashS);
    int replicasInZone = replicaCount(cluster, m -> m.zone().equals(CUT_ZONE));
    cluster.cutZone(CUT_ZONE, leaderCrashS % 2 == 0, CUT_MS);
    cluster.run(1000 * leaderCrashS);
    cluster.leader().crash(4000);
    double missingSeconds = missingReplicaSeconds(cluster, CUT_MS - 1000 * leaderCrashS);
    // The replicas are lost at the end of the lease, and the cut goes on for three fifths of a
    // lease.
    double maxMissingSeconds = replicasInZone * (CUT_MS - SimulatedCluster.LEASE_MS) / 1000.0;
    assertTrue(
        missingSeconds < 0.75 * maxMissingSeconds || replicasInZone == 0,
        "missing " + missingSeconds + " replica seconds of " + maxMissingSeconds);
    cluster.run(30_000);
    assertEquals(REPLICAS, replicaCount(cluster, m -> true), "replicas at the end");
  }

  /**
   * No machine is rented in a zone that cannot be reached; after the cut its machines are used
   * again.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {831, 832, 833, 834})
  void nothingIsRentedInASilentZone(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    cluster.cutZone(CUT_ZONE, false, CUT_MS);
    cluster.run(SimulatedCluster.REPORT_INTERVAL_MS * 2);
    Set<String> idsBefore = machineIds(cluster);
    for (int i = 0; i < 4; i++) {
      cluster.users.submitArray("one", "high", 8, 6);
      cluster.run(3000);
    }
    for (EmulatedWorker m : cluster.cloud.machines()) {
      assertTrue(
          idsBefore.contains(m.id()) || !m.zone().equals(CUT_ZONE),
          m.id() + " was rented in " + CUT_ZONE);
    }
    cluster.run(40_000);
  }

  private static Set<String> machineIds(SimulatedCluster cluster) {
    return cluster.cloud.machines().stream().map(EmulatedWorker::id).collect(Collectors.toSet());
  }

  /** A cut of one direction: either only reports arrive, or only commands do. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {841, 842, 843, 844, 845, 846})
  void aCutInOneDirection(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    boolean cutTowardsWorkers = seed % 2 == 0;
    Set<EmulatedWorker> cutMachines =
        cluster.cloud.machines().stream()
            .filter(m -> m.zone().equals(CUT_ZONE))
            .collect(Collectors.toSet());
    for (EmulatedWorker m : cutMachines) {
      for (SimulatedCluster.ControllerNode n : cluster.nodes) {
        for (String node : List.of("node-" + n.index, SimulatedCluster.clientAddress(n.index))) {
          if (cutTowardsWorkers) {
            cluster.network.cutOneWay(node, m.endpoint());
          } else {
            cluster.network.cutOneWay(m.endpoint(), node);
          }
        }
      }
    }
    cluster.run(SimulatedCluster.LEASE_MS / 2);
    cluster.leader().crash(3000);
    cluster.run(SimulatedCluster.LEASE_MS);
    for (EmulatedWorker m : cutMachines) {
      for (SimulatedCluster.ControllerNode n : cluster.nodes) {
        for (String node : List.of("node-" + n.index, SimulatedCluster.clientAddress(n.index))) {
          cluster.network.healOneWay(node, m.endpoint());
          cluster.network.healOneWay(m.endpoint(), node);
        }
      }
    }
    cluster.run(40_000);
    assertEquals(REPLICAS, replicaCount(cluster, m -> true), "replicas at the end");
  }

  /** Machines hang until just before or just after their lease expires. */
  @ParameterizedTest(name = "hang of a lease and {0} ms")
  @ValueSource(longs = {-2500, -700, -100, 100, 700, 2500})
  void aHangAroundALease(long offsetMs) {
    SimulatedCluster cluster = startCluster(860 + offsetMs);
    long hangingMachines = 0;
    for (EmulatedWorker m : cluster.cloud.machines()) {
      if (m.zone().equals(CUT_ZONE) || cluster.sim.chance(0.3)) {
        m.hang(SimulatedCluster.LEASE_MS + offsetMs);
        hangingMachines++;
      }
    }
    assertTrue(hangingMachines > 0);
    cluster.run(SimulatedCluster.LEASE_MS + 40_000);
    assertEquals(REPLICAS, replicaCount(cluster, m -> true), "replicas at the end");
  }

  /** Leases run for their full time again after an outage, and a second cut begins at once. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {881, 882, 883, 884})
  void aSecondCutFollowsAnOutage(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    cluster.cutZone(CUT_ZONE, true, SimulatedCluster.LEASE_MS * 2 / 3);
    cluster.run(SimulatedCluster.LEASE_MS / 2);
    cluster.state.beginOutage();
    cluster.run(SimulatedCluster.LEASE_MS / 2);
    cluster.state.endOutage();
    cluster.run(1000);
    cluster.cutZone(CUT_ZONE, seed % 2 == 0, SimulatedCluster.LEASE_MS * 4 / 3);
    cluster.run(SimulatedCluster.LEASE_MS / 2);
    if (cluster.leader() != null) {
      cluster.leader().crash(2000);
    }
    cluster.run(SimulatedCluster.LEASE_MS + 40_000);
    assertEquals(REPLICAS, replicaCount(cluster, m -> true), "replicas at the end");
  }

  /** All controllers crash while the rentals for the lost capacity are unanswered. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {891, 892, 893, 894})
  void allControllersCrashDuringRentals(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    cluster.cutZone(CUT_ZONE, false, 2 * CUT_MS);
    cluster.run(SimulatedCluster.REPORT_INTERVAL_MS);
    cluster.nodes.forEach(n -> cluster.network.cut("node-" + n.index, "cloud:1", true));
    cluster.run(4000 + 500 * (seed % 4));
    cluster.nodes.forEach(n -> n.crash(1500));
    cluster.run(3000);
    cluster.nodes.forEach(n -> cluster.network.heal("node-" + n.index, "cloud:1"));
    cluster.run(2 * CUT_MS + 30_000);
    assertEquals(REPLICAS, replicaCount(cluster, m -> true), "replicas at the end");
  }

  /**
   * Many machines terminate at once, their replicas are started again and recorded in launch
   * batches, and the leader crashes before the records of the services are written. The next leader
   * must not start the replicas a second time.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {901, 902, 904, 905, 907, 908})
  void aLeaderEndsWhileOnlyLaunchBatchesKnow(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    int batchesSeen = 0;
    for (int round = 0; round < 3; round++) {
      for (EmulatedWorker m : List.copyOf(cluster.cloud.machines())) {
        if (m.hasBooted() && !m.isGone() && cluster.sim.chance(0.3)) {
          m.powerOff();
        }
      }
      for (int i = 0; i < 3000 && cluster.state.keys("live/sheet/").isEmpty(); i++) {
        cluster.run(5);
      }
      batchesSeen += cluster.state.keys("live/sheet/").size();
      // Launches are in flight, and the records of the services are not written yet.
      cluster.run(cluster.sim.between(30, 90));
      // Half of the machines cannot be reached for a while: only the launch batches show what runs
      // there.
      List<EmulatedWorker> cutMachines =
          cluster.cloud.machines().stream().filter(m -> cluster.sim.chance(0.5)).toList();
      cutMachines.forEach(m -> setCut(cluster, m, true));
      if (cluster.leader() != null) {
        cluster.leader().crash(3000);
      }
      cluster.run(SimulatedCluster.REPORT_INTERVAL_MS * 2);
      cutMachines.forEach(m -> setCut(cluster, m, false));
      cluster.run(45_000);
    }
    assertTrue(batchesSeen > 0, "no launch batch was ever written");
    assertEquals(REPLICAS, replicaCount(cluster, m -> true), "replicas at the end");
    assertEquals(List.of(), cluster.state.keys("live/sheet/"), "launch batches left at the end");
  }

  private static void setCut(SimulatedCluster cluster, EmulatedWorker m, boolean cut) {
    for (SimulatedCluster.ControllerNode n : cluster.nodes) {
      for (String node : List.of("node-" + n.index, SimulatedCluster.clientAddress(n.index))) {
        if (cut) {
          cluster.network.cut(node, m.endpoint(), false);
        } else {
          cluster.network.heal(node, m.endpoint());
        }
      }
    }
  }

  /** Idle machines of a zone that is reachable again before the timeout are kept. */
  @Test
  void aZoneThatComesBackInTimeKeepsItsMachines() {
    SimulatedCluster cluster = startCluster(899);
    int killedBefore = cluster.cloud.tasksKilledByRelease();
    cluster.cutZone(CUT_ZONE, false, SimulatedCluster.LEASE_MS / 2);
    cluster.run(SimulatedCluster.LEASE_MS);
    assertEquals(0, cluster.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
    assertEquals(
        killedBefore, cluster.cloud.tasksKilledByRelease(), "tasks killed by returning machines");
  }
}
