package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * As {@link LostResponsesTest}, for what operators, budgets and calendars put on record: only the
 * answer is lost, and the sender goes on, hears no news, or ends.
 */
class LostOperatorResponsesTest {
  private static final long FOR_MS = 30_000;
  private static final long LONG_MS = 180_000;
  private static final long REPLACED_MS = 900_000;

  private static void begin(
      SimulatedCluster w, Predicate<JsonNode> writes, LostResponsesTest.Sender sender) {
    LostResponsesTest.loseAnswers(w, writes, sender);
  }

  private static void end(SimulatedCluster w) {
    assertTrue(w.network.commits.lostAnswerCount > 0, "no answer was lost");
    w.network.commits.answerLossProbability = 0;
  }

  /** Guards against drains that are forgotten, or never end, for want of an answer. */
  @ParameterizedTest(name = "seed {0}, its sender: {1}")
  @CsvSource({"13101,GOES_ON", "13102,HEARS_NO_NEWS", "13105,ENDS_AT_ONCE", "13104,ENDS_LATER"})
  void drainsWithoutAnswer(long seed, LostResponsesTest.Sender sender) {
    SimulatedCluster w = DisruptionTest.startServices(seed, 2, 3);
    int replicas = DisruptionTest.countReplicas(w);
    begin(
        w,
        CommitInterceptor.puts("live/drain").or(CommitInterceptor.removes("live/drain")),
        sender);
    OperatorsTest.order(w, "/v1/zones/c/drain", Json.object().put("why", "power"));
    w.run(LONG_MS);
    assertEquals(0, DisruptionTest.countTasksInZone(w, "c"), "tasks left in the zone");
    OperatorsTest.order(w, "/v1/zones/c/undrain", null);
    w.run(FOR_MS);
    end(w);
    w.run(FOR_MS);
    assertEquals(0, w.state.keys("live/drain").size(), "drains on record");
    assertEquals(replicas, DisruptionTest.countReplicas(w), "replicas in the end");
  }

  /** Guards against replacements that stand still, or begin again, for want of an answer. */
  @ParameterizedTest(name = "seed {0}, its sender: {1}")
  @CsvSource({"13111,GOES_ON", "13112,HEARS_NO_NEWS", "13113,ENDS_AT_ONCE", "13114,ENDS_LATER"})
  void replacementsWithoutAnswer(long seed, LostResponsesTest.Sender sender) {
    SimulatedCluster w = DisruptionTest.startServices(seed, 2, 3);
    Set<String> before = ReplacementTest.machines(w);
    int replicas = DisruptionTest.countReplicas(w);
    begin(w, CommitInterceptor.puts("live/replace/"), sender);
    OperatorsTest.order(w, "/v1/replacements/night/start", ReplacementTest.all(3, 3));
    w.run(2 * FOR_MS);
    end(w);
    ReplacementTest.untilDone(w, REPLACED_MS);
    ReplacementTest.assertReplaced(w, before, replicas);
  }

  /** Guards against more work thrown away than a budget allows, and against budgets never used. */
  @ParameterizedTest(name = "seed {0}, its sender: {1}")
  @CsvSource({"13112,GOES_ON", "13222,HEARS_NO_NEWS", "13123,ENDS_AT_ONCE", "13124,ENDS_LATER"})
  void budgetsWithoutAnswer(long seed, LostResponsesTest.Sender sender) {
    SimulatedCluster w = DisruptionTest.startServices(seed, 1, 1);
    double most = 2.0 * 60 * 8;
    DisruptionTest.setLostWorkBudget(w, most);
    w.users.submitArray("two", "standard", 60, 300);
    w.run(40_000);
    begin(w, CommitInterceptor.puts("live/disruption/"), sender);
    for (String zone : SimulatedCluster.ZONES) {
      OperatorsTest.order(w, "/v1/zones/" + zone + "/drain", Json.object().put("deadline_s", 1));
    }
    w.run(FOR_MS);
    end(w);
    w.run(FOR_MS);
    double lost = w.checker.lostCpuSeconds.getOrDefault("two", 0.0);
    assertTrue(lost > 0, "nothing was stopped at the deadline");
    assertTrue(lost <= most + 1e-6, lost + " CPU seconds thrown away of " + most);
  }

  /** Guards against runs held past their cut-off, and marks that count twice. */
  @ParameterizedTest(name = "seed {0}, its sender: {1}")
  @CsvSource({"13122,GOES_ON", "13116,HEARS_NO_NEWS", "13110,ENDS_AT_ONCE", "13134,ENDS_LATER"})
  void calendarMarksWithoutAnswer(long seed, LostResponsesTest.Sender sender) {
    SimulatedCluster w = CalendarTest.startAtCycle(seed);
    SimulatedUsers.KnownJob model = CalendarTest.submitModelRun(w);
    begin(w, CommitInterceptor.puts("live/calendar/"), sender);
    CalendarTest.deliverGauges(w, CalendarTest.EXPECTED_DELIVERIES);
    CalendarTest.runUntilBegun(
        w, model, CalendarTest.CUT_OFF_MS + CalendarTest.RELEASE_TO_START_MS);
    end(w);
    w.run(FOR_MS);
    int delivered = CalendarTest.calendarRecord(w).path("delivered").asInt();
    assertTrue(
        delivered <= CalendarTest.EXPECTED_DELIVERIES, delivered + " deliveries are on record");
    assertTrue(model.done, "it is not done");
  }
}
