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
 * Loses responses as {@link LostResponsesTest} does, for records of operators, disruption budgets
 * and calendars. The transaction is carried out and only its response is lost; the sender goes on,
 * misses its change stream, or crashes.
 */
class LostOperatorResponsesTest {
  private static final long PHASE_MS = 30_000;
  private static final long DRAIN_MS = 180_000;
  private static final long MAX_REPLACEMENT_MS = 900_000;

  private static void loseResponses(
      SimulatedCluster cluster, Predicate<JsonNode> writes, LostResponsesTest.Sender sender) {
    LostResponsesTest.loseResponses(cluster, writes, sender);
  }

  private static void stopLosingResponses(SimulatedCluster cluster) {
    assertTrue(cluster.network.commits.lostAnswerCount > 0, "no response was lost");
    cluster.network.commits.answerLossProbability = 0;
  }

  /** Guards against drains that are forgotten or never end because a response is lost. */
  @ParameterizedTest(name = "seed {0}, its sender: {1}")
  @CsvSource({"13101,GOES_ON", "13102,HEARS_NO_NEWS", "13105,ENDS_AT_ONCE", "13104,ENDS_LATER"})
  void drainsWithoutAnswer(long seed, LostResponsesTest.Sender sender) {
    SimulatedCluster cluster = DisruptionTest.startServices(seed, 2, 3);
    int replicasBefore = DisruptionTest.countReplicas(cluster);
    loseResponses(
        cluster,
        CommitInterceptor.puts("live/drain").or(CommitInterceptor.removes("live/drain")),
        sender);
    OperatorsTest.submitOrder(cluster, "/v1/zones/c/drain", Json.object().put("why", "power"));
    cluster.run(DRAIN_MS);
    assertEquals(0, DisruptionTest.countTasksInZone(cluster, "c"), "tasks left in the zone");
    OperatorsTest.submitOrder(cluster, "/v1/zones/c/undrain", null);
    cluster.run(PHASE_MS);
    stopLosingResponses(cluster);
    cluster.run(PHASE_MS);
    assertEquals(0, cluster.state.keys("live/drain").size(), "drains on record");
    assertEquals(replicasBefore, DisruptionTest.countReplicas(cluster), "replicas in the end");
  }

  /** Guards against replacements that stop or start over because a response is lost. */
  @ParameterizedTest(name = "seed {0}, its sender: {1}")
  @CsvSource({"13111,GOES_ON", "13112,HEARS_NO_NEWS", "13113,ENDS_AT_ONCE", "13114,ENDS_LATER"})
  void replacementsWithoutAnswer(long seed, LostResponsesTest.Sender sender) {
    SimulatedCluster cluster = DisruptionTest.startServices(seed, 2, 3);
    Set<String> oldMachineIds = ReplacementTest.machineIds(cluster);
    int replicasBefore = DisruptionTest.countReplicas(cluster);
    loseResponses(cluster, CommitInterceptor.puts("live/replace/"), sender);
    OperatorsTest.submitOrder(
        cluster, "/v1/replacements/night/start", ReplacementTest.orderForAll(3, 3));
    cluster.run(2 * PHASE_MS);
    stopLosingResponses(cluster);
    ReplacementTest.awaitDone(cluster, MAX_REPLACEMENT_MS);
    ReplacementTest.assertReplaced(cluster, oldMachineIds, replicasBefore);
  }

  /**
   * Guards against losing more work than a budget allows, and against budgets that are never used.
   */
  @ParameterizedTest(name = "seed {0}, its sender: {1}")
  @CsvSource({"13112,GOES_ON", "13222,HEARS_NO_NEWS", "13123,ENDS_AT_ONCE", "13124,ENDS_LATER"})
  void budgetsWithoutAnswer(long seed, LostResponsesTest.Sender sender) {
    SimulatedCluster cluster = DisruptionTest.startServices(seed, 1, 1);
    double maxLostCpuS = 2.0 * 60 * 8;
    DisruptionTest.setLostWorkBudget(cluster, maxLostCpuS);
    cluster.users.submitArray("two", "standard", 60, 300);
    cluster.run(40_000);
    loseResponses(cluster, CommitInterceptor.puts("live/disruption/"), sender);
    for (String zone : SimulatedCluster.ZONES) {
      OperatorsTest.submitOrder(
          cluster, "/v1/zones/" + zone + "/drain", Json.object().put("deadline_s", 1));
    }
    cluster.run(PHASE_MS);
    stopLosingResponses(cluster);
    cluster.run(PHASE_MS);
    double lostCpuS = cluster.checker.lostCpuSeconds.getOrDefault("two", 0.0);
    assertTrue(lostCpuS > 0, "nothing was stopped at the deadline");
    assertTrue(
        lostCpuS <= maxLostCpuS + 1e-6, lostCpuS + " CPU seconds thrown away of " + maxLostCpuS);
  }

  /**
   * Guards against runs that are held past their cut-off, and against deliveries that are counted
   * twice.
   */
  @ParameterizedTest(name = "seed {0}, its sender: {1}")
  @CsvSource({"13122,GOES_ON", "13116,HEARS_NO_NEWS", "13110,ENDS_AT_ONCE", "13134,ENDS_LATER"})
  void calendarMarksWithoutAnswer(long seed, LostResponsesTest.Sender sender) {
    SimulatedCluster cluster = CalendarTest.startAtCycle(seed);
    SimulatedUsers.KnownJob model = CalendarTest.submitModelRun(cluster);
    loseResponses(cluster, CommitInterceptor.puts("live/calendar/"), sender);
    CalendarTest.deliverGauges(cluster, CalendarTest.EXPECTED_DELIVERIES);
    CalendarTest.runUntilBegun(
        cluster, model, CalendarTest.CUT_OFF_MS + CalendarTest.RELEASE_TO_START_MS);
    stopLosingResponses(cluster);
    cluster.run(PHASE_MS);
    int delivered = CalendarTest.calendarRecord(cluster).path("delivered").asInt();
    assertTrue(
        delivered <= CalendarTest.EXPECTED_DELIVERIES, delivered + " deliveries are recorded");
    assertTrue(model.done, "the model job is not done");
  }
}
