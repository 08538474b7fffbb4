package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against late commands that do harm: commands of a crashed or deposed leader arrive after
 * those of the new leader, or commands of a running leader arrive after its own later ones. Each is
 * carried out once if its token and session still match, and the sender gets no response
 * (docs/meetings.md).
 */
class LateCommandsTest {
  /** Maximum number of commands of one kind that are delayed in a round. */
  private static final int MAX_HELD_COMMANDS = 12;

  /**
   * Starts a cluster whose teams are at their limits, so that a task that starts once too often is
   * detected.
   */
  private static SimulatedCluster startCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, new SimulatedCluster.Size(6, 24, 700, 6));
    cluster.network.lossProbability = 0;
    cluster.users.cancelledArrayShare = 0.4;
    cluster.run(20_000);
    return cluster;
  }

  private static void disableLeader(
      SimulatedCluster cluster, SimulatedCluster.ControllerNode oldLeader, String leaderFault) {
    switch (leaderFault) {
      case "ends" -> oldLeader.crash(6000);
      case "hangs" -> oldLeader.freeze(12_000);
      case "alone" ->
          new RandomFaults(cluster)
              .isolateFromPeersAndState(oldLeader, false, SimulatedCluster.LEASE_MS);
      default -> throw new IllegalArgumentException(leaderFault);
    }
  }

  /**
   * Cuts the links between the machines of a zone and all controllers but the old leader, in both
   * directions.
   */
  private static void isolateZoneFromOthers(
      SimulatedCluster cluster, SimulatedCluster.ControllerNode oldLeader, String zone, long ms) {
    for (EmulatedWorker m : cluster.cloud.machines()) {
      for (SimulatedCluster.ControllerNode n : cluster.nodes) {
        if (n != oldLeader && m.zone().equals(zone)) {
          cluster.network.cut("node-" + n.index, m.endpoint(), true);
          cluster.network.cut(SimulatedCluster.clientAddress(n.index), m.endpoint(), true);
          cluster.sim.after(ms, () -> cluster.network.heal("node-" + n.index, m.endpoint()));
          cluster.sim.after(
              ms,
              () -> cluster.network.heal(SimulatedCluster.clientAddress(n.index), m.endpoint()));
        }
      }
    }
  }

  private static String zoneOf(SimulatedCluster cluster, String endpoint) {
    return cluster.cloud.machines().stream()
        .filter(m -> m.endpoint().equals(endpoint))
        .map(EmulatedWorker::zone)
        .findFirst()
        .orElse("");
  }

  private static boolean sameZone(SimulatedCluster cluster, String endpoint, String other) {
    return zoneOf(cluster, endpoint).equals(zoneOf(cluster, other));
  }

  /** Cancels about a third of the accepted jobs that have not ended, through the new leader. */
  private static void cancelThirdOfJobs(SimulatedCluster cluster) {
    for (SimulatedUsers.KnownJob job : new ArrayList<>(cluster.users.jobs.values())) {
      if (job.accepted && !job.done && !job.cancelRequested && cluster.sim.chance(0.33)) {
        cluster.users.cancel(job);
      }
    }
  }

  /**
   * Delays commands of one kind, and crashes or deposes the leader once some are delayed. The
   * commands arrive {@code heldMs} later, at machines that the next leader has or has not reached
   * by then.
   */
  @ParameterizedTest(name = "seed {0}, {1} held for {2} ms, their leader {3}, others reach: {4}")
  @CsvSource({
    "5101,launch,2000,ends,true",
    "5102,launch,2500,ends,false",
    "5103,launch,4000,hangs,false",
    "5104,launch,6000,alone,false",
    "5105,launch,9000,ends,false",
    "5106,launch,16000,ends,false",
    "5107,launch,16000,alone,true",
    "5108,halt,2500,ends,false",
    "5109,halt,9000,alone,false",
    "5110,halt,16000,ends,true",
    "5111,clear,2500,ends,false",
    "5112,clear,6000,hangs,true",
    "5113,clear,16000,ends,false"
  })
  void commandsArriveAfterThoseOfTheNextLeader(
      long seed, String verb, long heldMs, String leaderFault, boolean reachedByOthers) {
    SimulatedCluster cluster = startCluster(seed);
    for (int i = 0; i < 3; i++) {
      SimulatedCluster.ControllerNode oldLeader = cluster.leader();
      if (oldLeader == null) {
        cluster.run(4000);
        continue;
      }
      List<String> heldEndpoints = new ArrayList<>();
      cluster.network.commandDelayMs =
          r -> {
            boolean holdsCommand =
                r.from().equals("node-" + oldLeader.index)
                    && r.hasOrder(verb)
                    && heldEndpoints.size() < MAX_HELD_COMMANDS
                    && (reachedByOthers
                        || heldEndpoints.stream().allMatch(to -> sameZone(cluster, r.to(), to)));
            if (holdsCommand) {
              heldEndpoints.add(r.to());
            }
            return holdsCommand ? heldMs : 0;
          };
      for (int k = 0; k < 500 && (heldEndpoints.isEmpty() || k < 50); k++) {
        cluster.run(20);
      }
      assertTrue(!heldEndpoints.isEmpty(), "no command was delayed");
      if (!reachedByOthers) {
        isolateZoneFromOthers(
            cluster, oldLeader, zoneOf(cluster, heldEndpoints.get(0)), heldMs + 1000);
      }
      disableLeader(cluster, oldLeader, leaderFault);
      cluster.run(2500);
      cancelThirdOfJobs(cluster);
      cluster.run(heldMs + 12_000);
      cluster.network.commandDelayMs = r -> 0;
    }
    int lateCommandCount =
        reachedByOthers ? cluster.network.lateRejected.get() : cluster.network.lateAccepted.get();
    assertTrue(
        lateCommandCount > 0,
        "no command arrived late: "
            + cluster.network.lateAccepted
            + ", "
            + cluster.network.lateRejected);
    SeededDaysTest.settle(cluster);
  }

  /** Commands of two leaders for the same tasks are in flight when a third leader begins. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {5121, 5122, 5123, 5124})
  void commandsOfTwoLeadersInFlight(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    for (int i = 0; i < 3; i++) {
      cluster.network.lateCommandProbability = 0.7;
      for (int k = 0; k < 2; k++) {
        cluster.run(2500);
        SimulatedCluster.ControllerNode oldLeader = cluster.leader();
        if (oldLeader != null) {
          disableLeader(cluster, oldLeader, cluster.sim.chance(0.5) ? "ends" : "alone");
        }
        cluster.run(cluster.sim.between(2500, 5000));
        assertNotEquals(oldLeader, cluster.leader(), "the old leader still leads");
      }
      cancelThirdOfJobs(cluster);
      cluster.network.lateCommandProbability = 0;
      cluster.run(SimulatedCluster.LEASE_MS);
    }
    SeededDaysTest.settle(cluster);
  }

  /**
   * Reports of a machine arrive without a launch that is delayed; the responses to them are lost,
   * and later commands are delayed, too. So the machine knows no raised token when the launch
   * arrives after all.
   */
  @ParameterizedTest(name = "seed {0}, held for {1} ms")
  @CsvSource({"5141,3500", "5142,4000", "5143,4500", "5144,5000"})
  void aLaunchArrivesAfterLostResponses(long seed, long heldMs) {
    SimulatedCluster cluster = startCluster(seed);
    for (int i = 0; i < 8; i++) {
      SimulatedCluster.ControllerNode leader = cluster.leader();
      List<String> delayedEndpoints = new ArrayList<>();
      cluster.network.commandDelayMs =
          r -> {
            boolean holdsLaunch =
                delayedEndpoints.size() < 3
                    && r.hasOrder("launch")
                    && !delayedEndpoints.contains(r.to());
            if (holdsLaunch) {
              delayedEndpoints.add(r.to());
              cluster.network.cutOneWay(SimulatedCluster.clientAddress(leader.index), r.to());
            }
            return holdsLaunch || delayedEndpoints.contains(r.to()) ? heldMs : 0;
          };
      cluster.run(heldMs + 2000);
      cluster.network.commandDelayMs = r -> 0;
      delayedEndpoints.forEach(
          to -> cluster.network.healOneWay(SimulatedCluster.clientAddress(leader.index), to));
      cluster.run(6000);
    }
    assertTrue(cluster.network.lateAccepted.get() > 0, "no command arrived late");
    SeededDaysTest.settle(cluster);
  }

  /** Delays a share of all direct commands for a long time, without leader changes. */
  @ParameterizedTest(name = "seed {0}, share {1}")
  @CsvSource({"5131,0.15", "5132,0.4", "5133,0.4", "5134,0.6"})
  void lateCommandsUnderOneLeader(long seed, double share) {
    SimulatedCluster cluster = startCluster(seed);
    cluster.network.lateCommandProbability = share;
    for (int i = 0; i < 6; i++) {
      cluster.run(10_000);
      cancelThirdOfJobs(cluster);
    }
    cluster.network.lateCommandProbability = 0;
    assertTrue(cluster.network.lateRejected.get() > 0, "no command arrived late");
    SeededDaysTest.settle(cluster);
  }
}
