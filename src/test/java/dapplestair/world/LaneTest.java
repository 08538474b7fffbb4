package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import dapplestair.settings.Lane;
import dapplestair.settings.OperatorSettings;
import dapplestair.work.Rank;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Riders evict batch tasks that fill all machines, whichever controller ends at whichever step
 * between a rider's acceptance and its start (docs/lane.md).
 */
class LaneTest {
  private static final long LANE_MS = 2000;

  // Covers the put of a claim, a halt and its proof, the put of a launch, and the launch.
  private static final long CLAIM_TO_START_MS = 1500;

  // Covers the time until another controller leads and its workers have reported the new fencing
  // token.
  private static final long TAKEOVER_MS =
      SimulatedCluster.REPORT_INTERVAL_MS + SimulatedCluster.REPORT_INTERVAL_MS;

  static final Lane GATE =
      new Lane(
          "gate", Set.of("gate"), Set.of(), Set.of("settle"), Rank.HIGH, Rank.STANDARD, 0, LANE_MS);

  static SimulatedCluster startWithFullMachines(long seed, Lane lane, double saveS) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.operatorSettings =
        OperatorSettings.defaults().withLanes(lane == null ? List.of() : List.of(lane));
    cluster.nodes.forEach(n -> n.crash(500));
    cluster.cloud.setCapacityShare(0.25);
    cluster.run(10_000);
    // Batch tasks need three times the capacity of all machines, and each runs for a long time.
    for (int i = 0; i < 12; i++) {
      cluster.users.submitModifiedArray(
          i % 2 == 0 ? "one" : "two",
          24,
          200,
          b ->
              b.put("jobclass", "settle")
                  .put("snapshotEveryS", saveS > 0 ? 5.0 : 0.0)
                  .put("snapshotS", saveS));
    }
    cluster.run(40_000);
    assertTrue(freeCpus(cluster) < SimulatedCluster.MACHINE_CPUS, "the machines are not full");
    return cluster;
  }

  private static double freeCpus(SimulatedCluster cluster) {
    double freeCpus = 0;
    for (EmulatedWorker m : cluster.cloud.machines()) {
      freeCpus +=
          m.isGone() || !m.hasBooted()
              ? 0
              : SimulatedCluster.MACHINE_CPUS
                  - 2 * m.tasks().stream().filter(EmulatedTask::isOnMachine).count();
    }
    return freeCpus;
  }

  static SimulatedUsers.KnownJob submitRider(SimulatedCluster cluster, int tasks) {
    return cluster.users.submitModifiedArray(
        "two", tasks, 6, b -> b.put("jobclass", "gate").put("rank", "high").put("loaners", true));
  }

  /**
   * Waits until all tasks of each rider have started, each counted once, for at most {@code
   * maxWaitMs} from the rider's submission.
   */
  static void runUntilBegun(
      SimulatedCluster cluster, List<SimulatedUsers.KnownJob> riders, long maxWaitMs) {
    for (SimulatedUsers.KnownJob rider : riders) {
      long deadlineMs = rider.submittedAtMs + maxWaitMs;
      while (rider.starts < rider.taskCount && cluster.sim.now() < deadlineMs) {
        cluster.run(50);
      }
      assertTrue(
          rider.starts >= rider.taskCount,
          () ->
              "%d of %d tasks began in %d ms".formatted(rider.starts, rider.taskCount, maxWaitMs));
    }
  }

  private static int countStoppedBatchTasks(SimulatedCluster cluster) {
    return cluster.checker.stopsByClass.getOrDefault("settle", 0);
  }

  private static JsonNode laneRecord(SimulatedCluster cluster) {
    return cluster.state.value("live/lane/gate");
  }

  /**
   * All riders begin within the lane's time, with one eviction for each task and one put for all
   * claims of a placement turn.
   */
  @ParameterizedTest(name = "seed {0}, saving takes {1} s")
  @CsvSource({"6301,0", "6302,0.5", "6303,0", "6304,30", "8042,30"})
  void ridersBeginWithinTheLaneTime(long seed, double saveS) {
    SimulatedCluster cluster = startWithFullMachines(seed, GATE, saveS);
    int stopsBefore = countStoppedBatchTasks(cluster);
    long lanePutsBefore = cluster.state.writeCountUnder("live/lane/");
    List<SimulatedUsers.KnownJob> riders = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      riders.add(submitRider(cluster, 6));
    }
    runUntilBegun(cluster, riders, LANE_MS + CLAIM_TO_START_MS);
    assertTrue(
        countStoppedBatchTasks(cluster) - stopsBefore <= 24,
        countStoppedBatchTasks(cluster)
            - stopsBefore
            + " stops for 24 rider tasks of the same size");
    assertTrue(
        cluster.state.writeCountUnder("live/lane/") - lanePutsBefore <= 6,
        cluster.state.writeCountUnder("live/lane/")
            - lanePutsBefore
            + " puts for the claims of four riders");
    cluster.run(20_000);
    riders.forEach(r -> assertTrue(r.done, r.ref + " is not done"));
    assertEquals(null, laneRecord(cluster), "a claim is left after its rider has ended");
  }

  /**
   * The tasks evicted for a rider stop at different times; meanwhile no batch task takes the
   * capacity that is already free.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6321, 6322, 6323})
  void ridersAsLargeAsMachines(long seed) {
    SimulatedCluster cluster = startWithFullMachines(seed, GATE, 0);
    // Some tasks save before they stop, so that the capacity of tasks that do not save is free
    // earlier.
    for (int i = 0; i < 12; i++) {
      cluster.users.submitModifiedArray(
          "one",
          24,
          3,
          b -> b.put("jobclass", "settle").put("snapshotEveryS", 1.0).put("snapshotS", 0.9));
    }
    cluster.cloud.machines().stream().limit(8).forEach(m -> cluster.sim.after(0, m::powerOff));
    cluster.run(25_000);
    SimulatedUsers.KnownJob rider =
        cluster.users.submitModifiedArray(
            "two",
            3,
            6,
            b ->
                b.put("jobclass", "gate")
                    .put("rank", "high")
                    .put("vcpus", SimulatedCluster.MACHINE_CPUS));
    int stopsBefore = countStoppedBatchTasks(cluster);
    runUntilBegun(cluster, List.of(rider), LANE_MS + CLAIM_TO_START_MS);
    assertTrue(
        countStoppedBatchTasks(cluster) - stopsBefore <= 3 * 4,
        countStoppedBatchTasks(cluster)
            - stopsBefore
            + " stops for riders that need three machines");
  }

  /** The leader ends at some point between acceptance and start, and so may the next leader. */
  @ParameterizedTest(name = "seed {0}, the leader ends after {1} ms, the next one too: {2}")
  @CsvSource({
    "6311,20,false",
    "6312,60,false",
    "6313,100,false",
    "6314,150,false",
    "6315,200,true",
    "6316,300,true",
    "6317,450,false",
    "6318,700,true",
    "6319,1000,false"
  })
  void claimsHoldAcrossLeaderChanges(long seed, long crashAfterMs, boolean nextLeaderEndsToo) {
    SimulatedCluster cluster = startWithFullMachines(seed, GATE, 0);
    int stopsBefore = countStoppedBatchTasks(cluster);
    SimulatedUsers.KnownJob rider = submitRider(cluster, 8);
    Map<String, Set<String>> victimsByHost = new HashMap<>();
    cluster.extraCheck =
        () -> {
          if (laneRecord(cluster) != null && !rider.done) {
            for (JsonNode claim : laneRecord(cluster).path("claims")) {
              Set<String> victims =
                  victimsByHost.computeIfAbsent(claim.path("host").asText(), h -> new HashSet<>());
              claim.path("victims").forEach(v -> victims.add(v.asText()));
            }
          }
        };
    cluster.run(crashAfterMs);
    if (cluster.leader() != null) {
      cluster.leader().crash(4000);
    }
    if (nextLeaderEndsToo) {
      cluster.run(TAKEOVER_MS / 2);
      if (cluster.leader() != null && cluster.leader().isUp()) {
        cluster.leader().crash(4000);
      }
    }
    runUntilBegun(
        cluster,
        List.of(rider),
        LANE_MS + CLAIM_TO_START_MS + (nextLeaderEndsToo ? 3 : 2) * TAKEOVER_MS);
    int victims = victimsByHost.values().stream().mapToInt(Set::size).sum();
    assertTrue(victims <= 2 * 8, victims + " tasks were claimed for eviction for 8 rider tasks");
    assertTrue(
        countStoppedBatchTasks(cluster) - stopsBefore <= 2 * 8,
        countStoppedBatchTasks(cluster) - stopsBefore + " stops for 8 rider tasks");
    cluster.run(30_000);
    assertTrue(rider.done, "the rider is not done");
    assertEquals(null, laneRecord(cluster), "a claim is left after its rider has ended");
  }

  /**
   * Machines with claimed capacity hang, receive nothing, or end; other machines are claimed
   * instead.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6331, 6332, 6333, 6334})
  void claimedMachinesFail(long seed) {
    SimulatedCluster cluster = startWithFullMachines(seed, GATE, 0);
    SimulatedUsers.KnownJob rider = submitRider(cluster, 12);
    cluster.run(250);
    if (laneRecord(cluster) != null) {
      int claimedMachines = 0;
      for (JsonNode claim : laneRecord(cluster).path("claims")) {
        for (EmulatedWorker m : List.copyOf(cluster.cloud.machines())) {
          if (m.id().equals(claim.path("host").asText())) {
            switch (claimedMachines++ % 3) {
              case 0 -> m.powerOff();
              case 1 -> m.hang(SimulatedCluster.LEASE_MS / 2);
              default -> m.cutInbound(SimulatedCluster.LEASE_MS);
            }
          }
        }
      }
    }
    runUntilBegun(cluster, List.of(rider), SimulatedCluster.LEASE_MS + LANE_MS);
  }

  /**
   * Batch tasks that take too long to save keep off the reserve for riders; batch tasks that stop
   * at once may use it.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6341, 6342})
  void theReserveIsKeptForRiders(long seed) {
    Lane lane =
        new Lane(
            "gate",
            Set.of("gate"),
            Set.of(),
            Set.of("settle"),
            Rank.HIGH,
            Rank.STANDARD,
            24,
            LANE_MS);
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.operatorSettings = OperatorSettings.defaults().withLanes(List.of(lane));
    cluster.nodes.forEach(n -> n.crash(500));
    cluster.cloud.setCapacityShare(0.25);
    cluster.run(10_000);
    for (int i = 0; i < 12; i++) {
      cluster.users.submitModifiedArray(
          "one",
          24,
          200,
          b -> b.put("jobclass", "settle").put("snapshotEveryS", 5.0).put("snapshotS", 20.0));
    }
    cluster.run(40_000);
    assertTrue(freeCpus(cluster) >= 24, freeCpus(cluster) + " CPUs are free, with a reserve of 24");
    int stopsBefore = countStoppedBatchTasks(cluster);
    SimulatedUsers.KnownJob rider = submitRider(cluster, 10);
    runUntilBegun(cluster, List.of(rider), CLAIM_TO_START_MS);
    assertEquals(
        stopsBefore,
        countStoppedBatchTasks(cluster),
        "stops for a rider although the reserve was free");
  }

  /**
   * A lane that is removed from the settings leaves no claims, and its riders become ordinary jobs.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6351, 6352})
  void aRemovedLaneLeavesNoClaims(long seed) {
    SimulatedCluster cluster = startWithFullMachines(seed, GATE, 0);
    submitRider(cluster, 30);
    cluster.run(150);
    cluster.operatorSettings = OperatorSettings.defaults();
    cluster.nodes.forEach(n -> n.crash(500));
    cluster.run(30_000);
    assertEquals(null, laneRecord(cluster), "a claim is left without its lane");
  }
}
