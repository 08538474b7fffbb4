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
  static final int COMPLETE = 4;

  // A tick, the put, a turn of placing, a launch.
  static final long STEPS_MS = 2500;

  private static final RunCalendar BASIN =
      new RunCalendar(
          "basin",
          Set.of("model"),
          null,
          LocalTime.MIDNIGHT,
          PERIOD_MS,
          ZoneOffset.UTC,
          Set.of("gauge"),
          COMPLETE,
          2,
          20_000,
          CUT_OFF_MS);

  private static long wall(SimulatedCluster w) {
    return 1_700_000_000_000L + w.sim.now();
  }

  /** At the beginning of a cycle. */
  static SimulatedCluster begun(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    w.network.lossProbability = 0;
    w.users.submissionsStopped = true;
    w.operatorSettings = OperatorSettings.defaults().withCalendars(List.of(BASIN));
    w.nodes.forEach(n -> n.crash(500));
    for (int i = 0; i < 3; i++) {
      w.users.submitService("two", 3);
    }
    w.run(20_000);
    toNextCycle(w);
    return w;
  }

  private static void toNextCycle(SimulatedCluster w) {
    w.run(BASIN.nextCycleStartMs(BASIN.cycleStartMs(wall(w))) - wall(w) + 200);
  }

  static SimulatedUsers.KnownJob model(SimulatedCluster w) {
    return w.users.submitModifiedArray(
        "one", 10, 8, b -> b.put("jobclass", "model").put("rank", "high"));
  }

  private static SimulatedUsers.KnownJob gauge(SimulatedCluster w) {
    return w.users.submitModifiedArray(
        "one", 1, 1, b -> b.put("jobclass", "gauge").put("rank", "standard"));
  }

  static JsonNode record(SimulatedCluster w) {
    return w.state.value("live/calendar/basin");
  }

  private static int marks(SimulatedCluster w) {
    return w.state.keys("live/calendar/basin/").size();
  }

  static void deliver(SimulatedCluster w, int gauges) {
    List<SimulatedUsers.KnownJob> sent = new ArrayList<>();
    for (int i = 0; i < gauges; i++) {
      sent.add(gauge(w));
    }
    long until = w.sim.now() + 15_000;
    while (!sent.stream().allMatch(g -> g.done) && w.sim.now() < until) {
      w.run(50);
    }
  }

  static void untilBegun(SimulatedCluster w, SimulatedUsers.KnownJob job, long ms) {
    long until = w.sim.now() + ms;
    while (!job.started && w.sim.now() < until) {
      w.run(50);
    }
    assertTrue(job.started, () -> job.ref + " has not begun: " + record(w));
  }

  /** Held until the last delivery, with no more puts than marks and one release. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6401, 6402, 6403})
  void completeReleases(long seed) {
    SimulatedCluster w = begun(seed);
    SimulatedUsers.KnownJob model = model(w);
    deliver(w, COMPLETE - 1);
    assertFalse(model.started, "it did not wait");
    long before = w.state.writeCountUnder("live/calendar/");
    deliver(w, 1);
    untilBegun(w, model, STEPS_MS);
    assertEquals("complete", record(w).path("by").asText());
    assertEquals(COMPLETE, record(w).path("delivered").asInt());
    assertEquals(2, w.state.writeCountUnder("live/calendar/") - before, "a mark and a release");
  }

  @ParameterizedTest(name = "seed {0}, {1} deliveries: {2}")
  @CsvSource({"6411,2,quorum", "6412,3,quorum", "6413,1,cut-off", "6414,0,cut-off"})
  void fewerReleaseLater(long seed, int gauges, String by) {
    SimulatedCluster w = begun(seed);
    long start = BASIN.cycleStartMs(wall(w));
    SimulatedUsers.KnownJob model = model(w);
    deliver(w, gauges);
    long due = by.equals("quorum") ? 20_000 : CUT_OFF_MS;
    w.run(Math.max(0, start + due - wall(w) - 500));
    assertFalse(model.started, "it did not wait");
    untilBegun(w, model, STEPS_MS + 500);
    assertEquals(by, record(w).path("by").asText());
  }

  /** The leader ends at some moment of a cycle, the next one too: one release, each mark once. */
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
  void aCycleOutlivesItsLeaders(long seed, long afterMs) {
    SimulatedCluster w = begun(seed);
    SimulatedUsers.KnownJob model = model(w);
    List<Long> released = new ArrayList<>();
    w.extraCheck =
        () -> {
          long cycle = record(w) == null ? 0 : record(w).path("cycle").asLong();
          if (cycle > 0 && (released.isEmpty() || released.get(released.size() - 1) != cycle)) {
            released.add(cycle);
          }
        };
    w.run(1000);
    List<SimulatedUsers.KnownJob> gauges = new ArrayList<>();
    for (int i = 0; i < COMPLETE; i++) {
      gauges.add(gauge(w));
    }
    w.run(afterMs);
    for (int i = 0; i < 2; i++) {
      if (w.leader() != null && w.leader().isUp()) {
        w.leader().crash(w.sim.between(300, 3000));
      }
      w.run(1500);
    }
    untilBegun(w, model, CUT_OFF_MS);
    toNextCycle(w);
    w.run(CUT_OFF_MS + STEPS_MS);
    assertEquals(released.stream().sorted().distinct().toList(), released, "released once each");
    gauges.forEach(g -> assertTrue(g.done, g.ref + " is not done"));
    assertTrue(model.done, "it is not done");
    JsonNode past = record(w).path("past").path(0);
    assertTrue(
        Set.of("complete", "quorum", "cut-off").contains(past.path("by").asText()),
        record(w).toString());
  }

  /** Deliveries that come late count in no later cycle; nothing is kept of cycles long over. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6441, 6442})
  void lateOnesBelongToTheirs(long seed) {
    SimulatedCluster w = begun(seed);
    w.users.submitModifiedArray(
        "one", 1, 70, b -> b.put("jobclass", "gauge").put("rank", "standard"));
    deliver(w, 1);
    toNextCycle(w);
    SimulatedUsers.KnownJob model = model(w);
    deliver(w, COMPLETE - 1);
    w.run(CUT_OFF_MS - 12_000);
    assertEquals(
        COMPLETE - 1,
        w.state.keys("live/calendar/basin/" + BASIN.cycleStartMs(wall(w)) + "/").size(),
        "deliveries of this cycle");
    w.run(CUT_OFF_MS);
    assertTrue(model.started);
    for (int i = 0; i < 4; i++) {
      toNextCycle(w);
    }
    assertEquals(0, marks(w), "marks of cycles that are over");
  }

  /** Nobody can write at the release, or nobody is there for a cycle: runs begin at the cut-off. */
  @ParameterizedTest(name = "seed {0}, all down: {1}")
  @CsvSource({"6451,false", "6452,true", "6453,false", "6454,true"})
  void nothingIsHeldPastTheCutOff(long seed, boolean down) {
    SimulatedCluster w = begun(seed);
    SimulatedUsers.KnownJob model = model(w);
    w.run(8000);
    if (down) {
      w.nodes.forEach(n -> n.crash(CUT_OFF_MS + 2000));
    } else {
      w.state.beginOutage();
      w.sim.after(CUT_OFF_MS + 2000, w.state::endOutage);
    }
    w.run(CUT_OFF_MS);
    assertFalse(model.started, "nobody could have started it");
    untilBegun(w, model, 2000 + 3 * SimulatedCluster.REPORT_INTERVAL_MS);
    w.run(PERIOD_MS);
    assertTrue(record(w).path("cycle").asLong() > 0, "the schedule goes on");
  }
}
