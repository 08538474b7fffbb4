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
 * Zones that are cut off, leaders that end meanwhile, machines that hang: replicas are back soon
 * after they are lost, nothing is returned that will be back, and the rules hold after every step.
 */
class SilenceTest {
  /** The one zone without a controller. */
  private static final String ZONE = "c";

  private static final long CUT_MS = SimulatedCluster.LEASE_MS * 8 / 5;

  private static final int REPLICAS = 120;

  /** Services of three replicas, one in each zone, and an array that goes on beside them. */
  private static SimulatedCluster begun(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    world.network.lossProbability = 0;
    world.users.submissionsStopped = true;
    for (int i = 0; i < REPLICAS / 6; i++) {
      world.users.submitService("one", 3);
      world.users.submitService("two", 3);
    }
    world.users.submitArray("one", "high", 60, 15);
    world.run(40_000);
    assertEquals(REPLICAS, replicas(world, m -> true), "replicas at the beginning");
    return world;
  }

  private static int replicas(SimulatedCluster world, Predicate<EmulatedWorker> where) {
    int n = 0;
    for (EmulatedWorker m : world.cloud.machines()) {
      if (!m.isGone() && where.test(m)) {
        n += (int) m.tasks().stream().filter(SilenceTest::replica).count();
      }
    }
    return n;
  }

  private static boolean replica(EmulatedTask t) {
    return t.isOnMachine() && t.status().equals("running") && t.isService();
  }

  /** Seconds times replicas that were missing while this time passed. */
  private static double missing(SimulatedCluster world, long ms) {
    double sum = 0;
    for (long t = 0; t < ms; t += 500) {
      world.run(500);
      sum += 0.5 * Math.max(0, REPLICAS - replicas(world, m -> true));
    }
    return sum;
  }

  /**
   * The leader ends at any second of a cut. The next one knows from the last account since when the
   * zone is silent: counted from its own beginning, replicas would be missed until the cut ends.
   */
  @ParameterizedTest(name = "leader ends at second {0} of the cut")
  @ValueSource(
      longs = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22})
  void aLeadersEndDoesNotMakeItForgetASilence(long second) {
    SimulatedCluster world = begun(800 + second);
    int inside = replicas(world, m -> m.zone().equals(ZONE));
    world.cutZone(ZONE, second % 2 == 0, CUT_MS);
    world.run(1000 * second);
    world.leader().crash(4000);
    double missed = missing(world, CUT_MS - 1000 * second);
    // They are lost at the end of the lease, and the cut goes on for three fifths of one.
    double all = inside * (CUT_MS - SimulatedCluster.LEASE_MS) / 1000.0;
    assertTrue(
        missed < 0.75 * all || inside == 0, "missing " + missed + " replica seconds of " + all);
    world.run(30_000);
    assertEquals(REPLICAS, replicas(world, m -> true), "replicas once all is over");
  }

  /** Nothing is rented where nothing can be reached; what is back is used. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {831, 832, 833, 834})
  void nothingIsRentedInASilentZone(long seed) {
    SimulatedCluster world = begun(seed);
    world.cutZone(ZONE, false, CUT_MS);
    world.run(SimulatedCluster.REPORT_INTERVAL_MS * 2);
    Set<String> before = names(world);
    for (int i = 0; i < 4; i++) {
      world.users.submitArray("one", "high", 8, 6);
      world.run(3000);
    }
    for (EmulatedWorker m : world.cloud.machines()) {
      assertTrue(
          before.contains(m.id()) || !m.zone().equals(ZONE), m.id() + " was rented in " + ZONE);
    }
    world.run(40_000);
  }

  private static Set<String> names(SimulatedCluster world) {
    return world.cloud.machines().stream().map(EmulatedWorker::id).collect(Collectors.toSet());
  }

  /** A cut in which reports still come, and one in which only orders still go. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {841, 842, 843, 844, 845, 846})
  void aCutInOneDirection(long seed) {
    SimulatedCluster world = begun(seed);
    boolean deafWorkers = seed % 2 == 0;
    Set<EmulatedWorker> cut =
        world.cloud.machines().stream()
            .filter(m -> m.zone().equals(ZONE))
            .collect(Collectors.toSet());
    for (EmulatedWorker m : cut) {
      for (SimulatedCluster.ControllerNode n : world.nodes) {
        for (String node : List.of("node-" + n.index, SimulatedCluster.clientAddress(n.index))) {
          if (deafWorkers) {
            world.network.cutOneWay(node, m.endpoint());
          } else {
            world.network.cutOneWay(m.endpoint(), node);
          }
        }
      }
    }
    world.run(SimulatedCluster.LEASE_MS / 2);
    world.leader().crash(3000);
    world.run(SimulatedCluster.LEASE_MS);
    for (EmulatedWorker m : cut) {
      for (SimulatedCluster.ControllerNode n : world.nodes) {
        for (String node : List.of("node-" + n.index, SimulatedCluster.clientAddress(n.index))) {
          world.network.healOneWay(node, m.endpoint());
          world.network.healOneWay(m.endpoint(), node);
        }
      }
    }
    world.run(40_000);
    assertEquals(REPLICAS, replicas(world, m -> true), "replicas once all is over");
  }

  /** Machines hang until just before, and until just after, their lease has run out. */
  @ParameterizedTest(name = "hang of a lease and {0} ms")
  @ValueSource(longs = {-2500, -700, -100, 100, 700, 2500})
  void aHangAroundALease(long more) {
    SimulatedCluster world = begun(860 + more);
    long hanging = 0;
    for (EmulatedWorker m : world.cloud.machines()) {
      if (m.zone().equals(ZONE) || world.sim.chance(0.3)) {
        m.hang(SimulatedCluster.LEASE_MS + more);
        hanging++;
      }
    }
    assertTrue(hanging > 0);
    world.run(SimulatedCluster.LEASE_MS + 40_000);
    assertEquals(REPLICAS, replicas(world, m -> true), "replicas once all is over");
  }

  /** Leases have their full time again after an outage, and a second cut begins at once. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {881, 882, 883, 884})
  void cutOutageAndCutAgain(long seed) {
    SimulatedCluster world = begun(seed);
    world.cutZone(ZONE, true, SimulatedCluster.LEASE_MS * 2 / 3);
    world.run(SimulatedCluster.LEASE_MS / 2);
    world.state.beginOutage();
    world.run(SimulatedCluster.LEASE_MS / 2);
    world.state.endOutage();
    world.run(1000);
    world.cutZone(ZONE, seed % 2 == 0, SimulatedCluster.LEASE_MS * 4 / 3);
    world.run(SimulatedCluster.LEASE_MS / 2);
    if (world.leader() != null) {
      world.leader().crash(2000);
    }
    world.run(SimulatedCluster.LEASE_MS + 40_000);
    assertEquals(REPLICAS, replicas(world, m -> true), "replicas once all is over");
  }

  /** All controllers end while the rentals for the lost room are unanswered. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {891, 892, 893, 894})
  void allEndWhileRoomIsRented(long seed) {
    SimulatedCluster world = begun(seed);
    world.cutZone(ZONE, false, 2 * CUT_MS);
    world.run(SimulatedCluster.REPORT_INTERVAL_MS);
    world.nodes.forEach(n -> world.network.cut("node-" + n.index, "cloud:1", true));
    world.run(4000 + 500 * (seed % 4));
    world.nodes.forEach(n -> n.crash(1500));
    world.run(3000);
    world.nodes.forEach(n -> world.network.heal("node-" + n.index, "cloud:1"));
    world.run(2 * CUT_MS + 30_000);
    assertEquals(REPLICAS, replicas(world, m -> true), "replicas once all is over");
  }

  /**
   * Many machines end at once, their replicas start again under launch batches, and the leader ends
   * before the services' own records know of them: the next one must not start them a second time.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {901, 902, 904, 905, 907, 908})
  void aLeaderEndsWhileOnlyLaunchBatchesKnow(long seed) {
    SimulatedCluster world = begun(seed);
    int stood = 0;
    for (int round = 0; round < 3; round++) {
      for (EmulatedWorker m : List.copyOf(world.cloud.machines())) {
        if (m.hasBooted() && !m.isGone() && world.sim.chance(0.3)) {
          m.powerOff();
        }
      }
      for (int i = 0; i < 3000 && world.state.keys("live/sheet/").isEmpty(); i++) {
        world.run(5);
      }
      stood += world.state.keys("live/sheet/").size();
      // Its launches are on their way, the services' own records are not yet written.
      world.run(world.sim.between(30, 90));
      // Half of the machines cannot be asked for a while: only the launch batches tell what runs
      // there.
      List<EmulatedWorker> cut =
          world.cloud.machines().stream().filter(m -> world.sim.chance(0.5)).toList();
      cut.forEach(m -> link(world, m, true));
      if (world.leader() != null) {
        world.leader().crash(3000);
      }
      world.run(SimulatedCluster.REPORT_INTERVAL_MS * 2);
      cut.forEach(m -> link(world, m, false));
      world.run(45_000);
    }
    assertTrue(stood > 0, "no launch batch was ever written");
    assertEquals(REPLICAS, replicas(world, m -> true), "replicas once all is over");
    assertEquals(List.of(), world.state.keys("live/sheet/"), "launch batches once all is over");
  }

  private static void link(SimulatedCluster world, EmulatedWorker m, boolean cut) {
    for (SimulatedCluster.ControllerNode n : world.nodes) {
      for (String node : List.of("node-" + n.index, SimulatedCluster.clientAddress(n.index))) {
        if (cut) {
          world.network.cut(node, m.endpoint(), false);
        } else {
          world.network.heal(node, m.endpoint());
        }
      }
    }
  }

  /** Idle machines of a zone that is back before the wait is over are still there. */
  @Test
  void aZoneThatComesBackInTimeKeepsItsMachines() {
    SimulatedCluster world = begun(899);
    int released = world.cloud.tasksKilledByRelease();
    world.cutZone(ZONE, false, SimulatedCluster.LEASE_MS / 2);
    world.run(SimulatedCluster.LEASE_MS);
    assertEquals(0, world.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
    assertEquals(
        released, world.cloud.tasksKilledByRelease(), "tasks killed by returning machines");
  }
}
