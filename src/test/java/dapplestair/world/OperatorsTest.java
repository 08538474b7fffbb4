package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests and orders of operators under faults. */
class OperatorsTest {
  static final SimulatedCluster.Size ROOMY = new SimulatedCluster.Size(6, 60, 1_000_000, 1);

  private final Map<String, Integer> responseCounts = new HashMap<>();

  static SimulatedCluster newCluster(long seed, SimulatedCluster.Size size) {
    return new SimulatedCluster(seed, size, true);
  }

  static void sendRequest(
      SimulatedCluster cluster,
      int node,
      String method,
      String path,
      JsonNode body,
      Consumer<HttpReply> done) {
    byte[] bytes = body == null ? null : Json.bytes(body);
    cluster.network.call(
        "users", SimulatedCluster.adminAddress(node), method, path, bytes, 8000, done);
  }

  /** Sends the request to the controllers in turn until one responds with 200. */
  static JsonNode awaitResponse(SimulatedCluster cluster, String path) {
    JsonNode[] response = {null};
    for (int i = 0; i < 20 && response[0] == null; i++) {
      sendRequest(
          cluster,
          i % 3,
          "GET",
          path,
          null,
          r -> response[0] = r.status() == 200 ? Json.parse(r.body()) : null);
      cluster.run(1500);
    }
    assertTrue(response[0] != null, "no controller answered " + path);
    return response[0];
  }

  static void submitOrder(SimulatedCluster cluster, String path, JsonNode body) {
    boolean[] done = {false};
    for (int i = 0; i < 20 && !done[0]; i++) {
      sendRequest(cluster, i % 3, "POST", path, body, r -> done[0] |= r.status() == 200);
      cluster.run(1000);
    }
    assertTrue(done[0], "order was not accepted: " + path);
  }

  // ---- responses are never stale ----

  /**
   * Under random faults, a response is at least as recent as its request, and each reason for
   * waiting names a rule that the job has.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void responsesAreNeverOlderThanTheirRequests(long seed) {
    SimulatedCluster cluster = newCluster(seed, SimulatedCluster.Size.SMALL);
    RandomFaults faults = new RandomFaults(cluster);
    cluster.run(10_000);
    faults.injectRepeatedly(4000);
    try {
      for (int i = 0; i < 700; i++) {
        askRandomQuestion(cluster);
        cluster.run(cluster.sim.between(200, 800));
      }
      faults.stop();
      cluster.run(30_000);
      SeededDaysTest.settle(cluster);
    } catch (AssertionError e) {
      throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
    }
    assertTrue(responseCounts.getOrDefault("200", 0) > 150, "answers: " + responseCounts);
    assertTrue(responseCounts.getOrDefault("waits", 0) > 3, "answers: " + responseCounts);
  }

  private void askRandomQuestion(SimulatedCluster cluster) {
    List<String> refs =
        cluster.users.jobs.values().stream()
            .filter(j -> cluster.sim.chance(0.1) || j.finalStatus() == null)
            .map(j -> j.ref)
            .toList();
    if (refs.isEmpty()) {
      return;
    }
    String ref = refs.get((int) cluster.sim.between(0, refs.size() - 1));
    String[] paths = {
      "/v1/jobs?limit=5",
      "/v1/machines",
      "/v1/teams",
      "/v1/plan",
      "/v1/status",
      "/v1/events",
      "/v1/jobs/" + ref,
      "/v1/jobs/" + ref + "/why",
      "/v1/jobs/" + ref + "/why"
    };
    String path = paths[(int) cluster.sim.between(0, paths.length - 1)];
    int node = (int) cluster.sim.between(0, 2);
    long epoch = cluster.state.epoch();
    JsonNode termKey = cluster.state.value("live/term");
    long term = termKey == null ? 0 : termKey.path("term").asLong();
    long askedAtMs = cluster.sim.now();
    boolean accepted = cluster.users.jobs.get(ref).accepted;
    sendRequest(
        cluster,
        node,
        "GET",
        path,
        null,
        r -> {
          responseCounts.merge(Integer.toString(r.status()), 1, Integer::sum);
          if (r.status() == 200) {
            JsonNode b = Json.parse(r.body());
            JsonNode asOf = b.path("asOf");
            if (asOf.path("epoch").asLong() < epoch || asOf.path("term").asLong() < term) {
              cluster.checker.reportViolation(
                  path + " is told as of " + asOf + ", asked at " + epoch);
            }
            if (path.endsWith("/why")) {
              checkWaitingReasons(cluster, cluster.users.jobs.get(ref), b);
            }
          } else if (r.status() == 503 && cluster.sim.now() - askedAtMs > 6000) {
            cluster.checker.reportViolation(
                "503 after " + (cluster.sim.now() - askedAtMs) + " ms for " + path);
          } else if (r.status() == 404 && accepted && path.contains(ref)) {
            cluster.checker.reportViolation("404 for " + path);
          } else if (r.status() == 500) {
            cluster.checker.reportViolation("500 for " + path);
          }
        });
  }

  /**
   * Checks that the reasons of a waiting job are not empty and name no rule that the job does not
   * have.
   */
  private void checkWaitingReasons(
      SimulatedCluster cluster, SimulatedUsers.KnownJob job, JsonNode body) {
    if (body.path("waiting_tasks").asInt() == 0) {
      return;
    }
    responseCounts.merge("waits", 1, Integer::sum);
    if (body.path("reasons").isEmpty()) {
      cluster.checker.reportViolation("no reason for " + job.ref);
    }
    for (JsonNode r : body.path("reasons")) {
      String reason = r.path("reason").asText();
      boolean jobHasRule =
          switch (reason) {
            case "spot" -> !job.body.path("loaners").asBoolean();
            case "spread" -> job.body.path("apart").asBoolean();
            case "together" -> job.body.path("together").asBoolean();
            case "gang" -> job.body.path("shape").asText().equals("gang");
            case "held-for-services" -> job.body.path("loaners").asBoolean() && !job.service;
            case "drained" -> !cluster.state.keys("live/drain").isEmpty();
            case "team-limit" ->
                maxCpuDemand(cluster, job) > cluster.size.maxTeamCpus() - job.cpus - 1e-6;
            default -> true;
          };
      if (!jobHasRule) {
        cluster.checker.reportViolation(
            reason + " is named for " + job.ref + ", which has no such rule");
      }
    }
  }

  /**
   * Returns the CPUs that the jobs of the team could use at most; a limit above that cannot be the
   * reason for waiting.
   */
  private static double maxCpuDemand(SimulatedCluster cluster, SimulatedUsers.KnownJob job) {
    return cluster.users.jobs.values().stream()
        .filter(o -> o.body.path("owner").equals(job.body.path("owner")))
        .mapToDouble(o -> o.cpus * o.taskCount)
        .sum();
  }

  static Set<String> waitingReasons(SimulatedCluster cluster, SimulatedUsers.KnownJob job) {
    Set<String> reasons = new HashSet<>();
    awaitResponse(cluster, "/v1/jobs/" + job.ref + "/why")
        .path("reasons")
        .forEach(r -> reasons.add(r.path("reason").asText()));
    return reasons;
  }

  static SimulatedCluster startQuietCluster(long seed, SimulatedCluster.Size size) {
    SimulatedCluster cluster = newCluster(seed, size);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.run(6000);
    return cluster;
  }

  // ---- jobs served by class and team ----

  /**
   * The leader counts the jobs served for each team exactly as users and machines observed them.
   */
  @Test
  void servedCountsMatchWhatUsersSaw() {
    SimulatedCluster cluster = newCluster(16, SimulatedCluster.Size.SMALL);
    cluster.network.lossProbability = 0;
    cluster.run(60_000);
    cluster.users.submissionsStopped = true;
    cluster.run(60_000);
    for (JsonNode row : awaitResponse(cluster, "/v1/teams").path("rows")) {
      InvariantChecker.JobTally observed =
          cluster
              .checker
              .jobTallies()
              .getOrDefault("team " + row.path("team").asText(), new InvariantChecker.JobTally());
      JsonNode reported = row.path("served");
      assertEquals(observed.accepted, reported.path("accepted").asInt(), row + " " + observed);
      assertEquals(observed.started, reported.path("started").asInt(), row + " " + observed);
      assertEquals(observed.dueToComplete, reported.path("due").asInt(), row + " " + observed);
      assertEquals(observed.done, reported.path("done").asInt(), row + " " + observed);
    }
  }

  /** The check of served jobs fails if one team gets nothing, whatever the other teams got. */
  @Test
  void anUnservedTeamFailsTheServedCheck() {
    SimulatedCluster cluster =
        startQuietCluster(17, new SimulatedCluster.Size(2, 1000, 1_000_000, 1));
    cluster.users.submitArray("one", "standard", 4, 5);
    cluster.run(30_000);
    cluster.checker.checkHalfServed();
    cluster.cloud.setCapacityShare(0);
    cluster.users.submitArray("two", "standard", 8, 500);
    cluster.run(30_000);
    AssertionError failed = assertThrows(AssertionError.class, cluster.checker::checkHalfServed);
    assertTrue(failed.getMessage().contains("team two"), failed.getMessage());
  }
}
