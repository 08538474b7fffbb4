package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.settings.OperatorSettings;
import dapplestair.settings.RunCalendar;
import java.time.LocalTime;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Model runs start in step with gauge deliveries, whichever controller ends at whichever step of a
 * cycle, and never wait past the cut-off (docs/calendar.md).
 */
class CalendarTest {
  private static final long PERIOD_MS = 60_000;
  static final long CUT_OFF_MS = 30_000;
  static final int EXPECTED_DELIVERIES = 4;

  // Covers a timer tick, the put of the release, a placement turn and a launch.
  static final long RELEASE_TO_START_MS = 2500;

  private static final RunCalendar BASIN =
      new RunCalendar(
          "basin",
          Set.of("model"),
          null,
          LocalTime.MIDNIGHT,
          PERIOD_MS,
          ZoneOffset.UTC,
          Set.of("gauge"),
          EXPECTED_DELIVERIES,
          2,
          20_000,
          CUT_OFF_MS);

  private static long wallClockMs(SimulatedCluster cluster) {
    return 1_700_000_000_000L + cluster.sim.now();
  }

  /** Starts a cluster and runs it to the beginning of a cycle. */
  static SimulatedCluster startAtCycle(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.operatorSettings = OperatorSettings.defaults().withCalendars(List.of(BASIN));
    cluster.nodes.forEach(n -> n.crash(500));
    for (int i = 0; i < 3; i++) {
      cluster.users.submitService("two", 3);
    }
    cluster.run(20_000);
    runToNextCycle(cluster);
    return cluster;
  }

  private static void runToNextCycle(SimulatedCluster cluster) {
    cluster.run(
        BASIN.nextCycleStartMs(BASIN.cycleStartMs(wallClockMs(cluster)))
            - wallClockMs(cluster)
            + 200);
  }

  static SimulatedUsers.KnownJob submitModelRun(SimulatedCluster cluster) {
    return cluster.users.submitModifiedArray(
        "one", 10, 8, b -> b.put("jobclass", "model").put("rank", "high"));
  }

  private static SimulatedUsers.KnownJob submitGaugeDelivery(SimulatedCluster cluster) {
    return cluster.users.submitModifiedArray(
        "one", 1, 1, b -> b.put("jobclass", "gauge").put("rank", "standard"));
  }

  static JsonNode calendarRecord(SimulatedCluster cluster) {
    return cluster.state.value("live/calendar/basin");
  }

  private static int countDeliveryMarks(SimulatedCluster cluster) {
    return cluster.state.keys("live/calendar/basin/").size();
  }

  static void deliverGauges(SimulatedCluster cluster, int gauges) {
    List<SimulatedUsers.KnownJob> deliveries = new ArrayList<>();
    for (int i = 0; i < gauges; i++) {
      deliveries.add(submitGaugeDelivery(cluster));
    }
    long deadlineMs = cluster.sim.now() + 15_000;
    while (!deliveries.stream().allMatch(g -> g.done) && cluster.sim.now() < deadlineMs) {
      cluster.run(50);
    }
  }

  static void runUntilBegun(SimulatedCluster cluster, SimulatedUsers.KnownJob job, long maxWaitMs) {
    long deadlineMs = cluster.sim.now() + maxWaitMs;
    while (!job.started && cluster.sim.now() < deadlineMs) {
      cluster.run(50);
    }
    assertTrue(job.started, () -> job.ref + " has not begun: " + calendarRecord(cluster));
  }

  /**
   * Model runs are held until the last delivery. The release takes no more puts than one for each
   * delivery mark and one for the release.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6401, 6402, 6403})
  void completeDeliveriesReleaseTheCycle(long seed) {
    SimulatedCluster cluster = startAtCycle(seed);
    SimulatedUsers.KnownJob model = submitModelRun(cluster);
    deliverGauges(cluster, EXPECTED_DELIVERIES - 1);
    assertFalse(model.started, "the model run did not wait for its release");
    long putsBefore = cluster.state.writeCountUnder("live/calendar/");
    deliverGauges(cluster, 1);
    runUntilBegun(cluster, model, RELEASE_TO_START_MS);
    assertEquals("complete", calendarRecord(cluster).path("by").asText());
    assertEquals(EXPECTED_DELIVERIES, calendarRecord(cluster).path("delivered").asInt());
    assertEquals(
        2,
        cluster.state.writeCountUnder("live/calendar/") - putsBefore,
        "puts for one delivery mark and the release");
  }

  @ParameterizedTest(name = "seed {0}, {1} deliveries: {2}")
  @CsvSource({"6411,2,quorum", "6412,3,quorum", "6413,1,cut-off", "6414,0,cut-off"})
  void fewerDeliveriesReleaseAtTheQuorumOrCutOff(long seed, int gauges, String expectedCause) {
    SimulatedCluster cluster = startAtCycle(seed);
    long cycleStartMs = BASIN.cycleStartMs(wallClockMs(cluster));
    SimulatedUsers.KnownJob model = submitModelRun(cluster);
    deliverGauges(cluster, gauges);
    long releaseMs = expectedCause.equals("quorum") ? 20_000 : CUT_OFF_MS;
    cluster.run(Math.max(0, cycleStartMs + releaseMs - wallClockMs(cluster) - 500));
    assertFalse(model.started, "the model run did not wait for its release");
    runUntilBegun(cluster, model, RELEASE_TO_START_MS + 500);
    assertEquals(expectedCause, calendarRecord(cluster).path("by").asText());
  }

  /**
   * The leader ends at some point in a cycle, and so does the next leader: each cycle is released
   * once and each delivery is marked once.
   */
  @ParameterizedTest(name = "seed {0}, a leader ends {1} ms after the deliveries were sent")
  @CsvSource({
    "6421,0",
    "6422,400",
    "6423,900",
    "6424,1300",
    "6425,1500",
    "6426,1700",
    "6427,1900",
    "6428,2100",
    "6429,2400",
    "6430,2800"
  })
  void aCycleIsReleasedOnceAcrossLeaderChanges(long seed, long afterMs) {
    SimulatedCluster cluster = startAtCycle(seed);
    SimulatedUsers.KnownJob model = submitModelRun(cluster);
    List<Long> releasedCycles = new ArrayList<>();
    cluster.extraCheck =
        () -> {
          long releasedCycle =
              calendarRecord(cluster) == null ? 0 : calendarRecord(cluster).path("cycle").asLong();
          if (releasedCycle > 0
              && (releasedCycles.isEmpty()
                  || releasedCycles.get(releasedCycles.size() - 1) != releasedCycle)) {
            releasedCycles.add(releasedCycle);
          }
        };
    cluster.run(1000);
    List<SimulatedUsers.KnownJob> gauges = new ArrayList<>();
    for (int i = 0; i < EXPECTED_DELIVERIES; i++) {
      gauges.add(submitGaugeDelivery(cluster));
    }
    cluster.run(afterMs);
    for (int i = 0; i < 2; i++) {
      if (cluster.leader() != null && cluster.leader().isUp()) {
        cluster.leader().crash(cluster.sim.between(300, 3000));
      }
      cluster.run(1500);
    }
    runUntilBegun(cluster, model, CUT_OFF_MS);
    runToNextCycle(cluster);
    cluster.run(CUT_OFF_MS + RELEASE_TO_START_MS);
    assertEquals(
        releasedCycles.stream().sorted().distinct().toList(),
        releasedCycles,
        "each cycle is released once");
    gauges.forEach(g -> assertTrue(g.done, g.ref + " is not done"));
    assertTrue(model.done, "the model run is not done");
    JsonNode pastCycle = calendarRecord(cluster).path("past").path(0);
    assertTrue(
        Set.of("complete", "quorum", "cut-off").contains(pastCycle.path("by").asText()),
        calendarRecord(cluster).toString());
  }

  /**
   * Late deliveries count for no later cycle, and no delivery marks are kept of cycles that ended
   * long ago.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6441, 6442})
  void lateDeliveriesCountOnlyForTheirOwnCycle(long seed) {
    SimulatedCluster cluster = startAtCycle(seed);
    cluster.users.submitModifiedArray(
        "one", 1, 70, b -> b.put("jobclass", "gauge").put("rank", "standard"));
    deliverGauges(cluster, 1);
    runToNextCycle(cluster);
    SimulatedUsers.KnownJob model = submitModelRun(cluster);
    deliverGauges(cluster, EXPECTED_DELIVERIES - 1);
    cluster.run(CUT_OFF_MS - 12_000);
    assertEquals(
        EXPECTED_DELIVERIES - 1,
        cluster
            .state
            .keys("live/calendar/basin/" + BASIN.cycleStartMs(wallClockMs(cluster)) + "/")
            .size(),
        "deliveries marked for this cycle");
    cluster.run(CUT_OFF_MS);
    assertTrue(model.started);
    for (int i = 0; i < 4; i++) {
      runToNextCycle(cluster);
    }
    assertEquals(0, countDeliveryMarks(cluster), "delivery marks of ended cycles");
  }

  /**
   * Either the state service is unavailable at the release, or all controllers are down for a
   * cycle: held runs begin at the cut-off.
   */
  @ParameterizedTest(name = "seed {0}, all down: {1}")
  @CsvSource({"6451,false", "6452,true", "6453,false", "6454,true"})
  void noRunIsHeldPastTheCutOff(long seed, boolean allControllersDown) {
    SimulatedCluster cluster = startAtCycle(seed);
    SimulatedUsers.KnownJob model = submitModelRun(cluster);
    cluster.run(8000);
    if (allControllersDown) {
      cluster.nodes.forEach(n -> n.crash(CUT_OFF_MS + 2000));
    } else {
      cluster.state.beginOutage();
      cluster.sim.after(CUT_OFF_MS + 2000, cluster.state::endOutage);
    }
    cluster.run(CUT_OFF_MS);
    assertFalse(model.started, "the model run started while nobody could start it");
    runUntilBegun(cluster, model, 2000 + 3 * SimulatedCluster.REPORT_INTERVAL_MS);
    cluster.run(PERIOD_MS);
    assertTrue(
        calendarRecord(cluster).path("cycle").asLong() > 0,
        "no cycle is recorded after the recovery");
  }
}
