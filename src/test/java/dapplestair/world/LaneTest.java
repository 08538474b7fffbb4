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
 * Riders go over batches that fill all machines, whichever controller ends at whichever step
 * between a rider's acceptance and its start (docs/lane.md).
 */
class LaneTest {
  private static final long LANE_MS = 2000;

  // A claim's put, a halt and its proof, a launch's put and the launch.
  private static final long STEPS_MS = 1500;

  // Until somebody else leads, and its workers have shown the new token.
  private static final long TAKEOVER_MS =
      SimulatedCluster.REPORT_INTERVAL_MS + SimulatedCluster.REPORT_INTERVAL_MS;

  static final Lane GATE =
      new Lane(
          "gate", Set.of("gate"), Set.of(), Set.of("settle"), Rank.HIGH, Rank.STANDARD, 0, LANE_MS);

  static SimulatedCluster begun(long seed, Lane lane, double saveS) {
    SimulatedCluster w = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    w.network.lossProbability = 0;
    w.users.submissionsStopped = true;
    w.operatorSettings =
        OperatorSettings.defaults().withLanes(lane == null ? List.of() : List.of(lane));
    w.nodes.forEach(n -> n.crash(500));
    w.cloud.setCapacityShare(0.25);
    w.run(10_000);
    // Batches fill all there is, three times over, and each runs for long.
    for (int i = 0; i < 12; i++) {
      w.users.submitModifiedArray(
          i % 2 == 0 ? "one" : "two",
          24,
          200,
          b ->
              b.put("jobclass", "settle")
                  .put("snapshotEveryS", saveS > 0 ? 5.0 : 0.0)
                  .put("snapshotS", saveS));
    }
    w.run(40_000);
    assertTrue(free(w) < SimulatedCluster.MACHINE_CPUS, "machines are not full");
    return w;
  }

  private static double free(SimulatedCluster w) {
    double free = 0;
    for (EmulatedWorker m : w.cloud.machines()) {
      free +=
          m.isGone() || !m.hasBooted()
              ? 0
              : SimulatedCluster.MACHINE_CPUS
                  - 2 * m.tasks().stream().filter(EmulatedTask::isOnMachine).count();
    }
    return free;
  }

  static SimulatedUsers.KnownJob rider(SimulatedCluster w, int tasks) {
    return w.users.submitModifiedArray(
        "two", tasks, 6, b -> b.put("jobclass", "gate").put("rank", "high").put("loaners", true));
  }

  /** How many of a job's tasks have started so far, each counted once. */
  static void untilBegun(SimulatedCluster w, List<SimulatedUsers.KnownJob> riders, long mostMs) {
    for (SimulatedUsers.KnownJob r : riders) {
      long until = r.submittedAtMs + mostMs;
      while (r.starts < r.taskCount && w.sim.now() < until) {
        w.run(50);
      }
      assertTrue(
          r.starts >= r.taskCount,
          () -> "%d of %d tasks began in %d ms".formatted(r.starts, r.taskCount, mostMs));
    }
  }

  private static int stopped(SimulatedCluster w) {
    return w.checker.stopsByClass.getOrDefault("settle", 0);
  }

  private static JsonNode claims(SimulatedCluster w) {
    return w.state.value("live/lane/gate");
  }

  /** All begin within the lane's time, one stop for each, one put for all claims of a turn. */
  @ParameterizedTest(name = "seed {0}, saving takes {1} s")
  @CsvSource({"6301,0", "6302,0.5", "6303,0", "6304,30", "8042,30"})
  void ridersDoNotWait(long seed, double saveS) {
    SimulatedCluster w = begun(seed, GATE, saveS);
    int before = stopped(w);
    long laneBefore = w.state.writeCountUnder("live/lane/");
    List<SimulatedUsers.KnownJob> riders = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      riders.add(rider(w, 6));
    }
    untilBegun(w, riders, LANE_MS + STEPS_MS);
    assertTrue(stopped(w) - before <= 24, stopped(w) - before + " stops for 24 riders of one size");
    assertTrue(
        w.state.writeCountUnder("live/lane/") - laneBefore <= 6,
        w.state.writeCountUnder("live/lane/") - laneBefore + " puts for the claims of four riders");
    w.run(20_000);
    riders.forEach(r -> assertTrue(r.done, r.ref + " is not done"));
    assertEquals(null, claims(w), "a claim outlives its rider");
  }

  /** What goes for a rider goes one after the other; meanwhile no batch takes what is free. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6321, 6322, 6323})
  void ridersAsLargeAsMachines(long seed) {
    SimulatedCluster w = begun(seed, GATE, 0);
    // Some save before they go, so that the room of those that don't is free before theirs.
    for (int i = 0; i < 12; i++) {
      w.users.submitModifiedArray(
          "one",
          24,
          3,
          b -> b.put("jobclass", "settle").put("snapshotEveryS", 1.0).put("snapshotS", 0.9));
    }
    w.cloud.machines().stream().limit(8).forEach(m -> w.sim.after(0, m::powerOff));
    w.run(25_000);
    SimulatedUsers.KnownJob rider =
        w.users.submitModifiedArray(
            "two",
            3,
            6,
            b ->
                b.put("jobclass", "gate")
                    .put("rank", "high")
                    .put("vcpus", SimulatedCluster.MACHINE_CPUS));
    int before = stopped(w);
    untilBegun(w, List.of(rider), LANE_MS + STEPS_MS);
    assertTrue(stopped(w) - before <= 3 * 4, stopped(w) - before + " stops for three machines");
  }

  /** The leader ends at some moment between acceptance and start, and so may the next one. */
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
  void claimsOutliveLeaders(long seed, long afterMs, boolean twice) {
    SimulatedCluster w = begun(seed, GATE, 0);
    int before = stopped(w);
    SimulatedUsers.KnownJob rider = rider(w, 8);
    Map<String, Set<String>> claimed = new HashMap<>();
    w.extraCheck =
        () -> {
          if (claims(w) != null && !rider.done) {
            for (JsonNode c : claims(w).path("claims")) {
              Set<String> victims =
                  claimed.computeIfAbsent(c.path("host").asText(), h -> new HashSet<>());
              c.path("victims").forEach(v -> victims.add(v.asText()));
            }
          }
        };
    w.run(afterMs);
    if (w.leader() != null) {
      w.leader().crash(4000);
    }
    if (twice) {
      w.run(TAKEOVER_MS / 2);
      if (w.leader() != null && w.leader().isUp()) {
        w.leader().crash(4000);
      }
    }
    untilBegun(w, List.of(rider), LANE_MS + STEPS_MS + (twice ? 3 : 2) * TAKEOVER_MS);
    int victims = claimed.values().stream().mapToInt(Set::size).sum();
    assertTrue(victims <= 2 * 8, victims + " tasks had to go for 8");
    assertTrue(stopped(w) - before <= 2 * 8, stopped(w) - before + " stops for 8 riders");
    w.run(30_000);
    assertTrue(rider.done, "it is not done");
    assertEquals(null, claims(w), "a claim outlives its rider");
  }

  /** Machines on which room is claimed hang, go deaf or end; others are claimed instead. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6331, 6332, 6333, 6334})
  void claimedMachinesFail(long seed) {
    SimulatedCluster w = begun(seed, GATE, 0);
    SimulatedUsers.KnownJob rider = rider(w, 12);
    w.run(250);
    if (claims(w) != null) {
      int n = 0;
      for (JsonNode c : claims(w).path("claims")) {
        for (EmulatedWorker m : List.copyOf(w.cloud.machines())) {
          if (m.id().equals(c.path("host").asText())) {
            switch (n++ % 3) {
              case 0 -> m.powerOff();
              case 1 -> m.hang(SimulatedCluster.LEASE_MS / 2);
              default -> m.cutInbound(SimulatedCluster.LEASE_MS);
            }
          }
        }
      }
    }
    untilBegun(w, List.of(rider), SimulatedCluster.LEASE_MS + LANE_MS);
  }

  /** What takes too long to save leaves the reserve to riders; what is gone at once may use it. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6341, 6342})
  void theReserveIsKept(long seed) {
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
    SimulatedCluster w = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    w.network.lossProbability = 0;
    w.users.submissionsStopped = true;
    w.operatorSettings = OperatorSettings.defaults().withLanes(List.of(lane));
    w.nodes.forEach(n -> n.crash(500));
    w.cloud.setCapacityShare(0.25);
    w.run(10_000);
    for (int i = 0; i < 12; i++) {
      w.users.submitModifiedArray(
          "one",
          24,
          200,
          b -> b.put("jobclass", "settle").put("snapshotEveryS", 5.0).put("snapshotS", 20.0));
    }
    w.run(40_000);
    assertTrue(free(w) >= 24, free(w) + " CPUs are left of a reserve of 24");
    int before = stopped(w);
    SimulatedUsers.KnownJob rider = rider(w, 10);
    untilBegun(w, List.of(rider), STEPS_MS);
    assertEquals(before, stopped(w), "stops, though the reserve was free");
  }

  /** A lane that is gone from the settings leaves no claim, and riders are jobs as any other. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6351, 6352})
  void aLaneIsRemoved(long seed) {
    SimulatedCluster w = begun(seed, GATE, 0);
    rider(w, 30);
    w.run(150);
    w.operatorSettings = OperatorSettings.defaults();
    w.nodes.forEach(n -> n.crash(500));
    w.run(30_000);
    assertEquals(null, claims(w), "a claim without a lane");
  }
}
