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

/** What operators are told and what they order, while everything else fails. */
class OperatorsTest {
  static final SimulatedCluster.Size ROOMY = new SimulatedCluster.Size(6, 60, 1_000_000, 1);

  private final Map<String, Integer> told = new HashMap<>();

  static SimulatedCluster world(long seed, SimulatedCluster.Size size) {
    return new SimulatedCluster(seed, size, true);
  }

  static void ask(
      SimulatedCluster w,
      int node,
      String method,
      String path,
      JsonNode body,
      Consumer<HttpReply> done) {
    byte[] bytes = body == null ? null : Json.bytes(body);
    w.network.call("users", SimulatedCluster.adminAddress(node), method, path, bytes, 8000, done);
  }

  /** Asks until somebody answers 200. */
  static JsonNode answer(SimulatedCluster w, String path) {
    JsonNode[] out = {null};
    for (int i = 0; i < 20 && out[0] == null; i++) {
      ask(
          w,
          i % 3,
          "GET",
          path,
          null,
          r -> out[0] = r.status() == 200 ? Json.parse(r.body()) : null);
      w.run(1500);
    }
    assertTrue(out[0] != null, "no answer to " + path);
    return out[0];
  }

  static void order(SimulatedCluster w, String path, JsonNode body) {
    boolean[] done = {false};
    for (int i = 0; i < 20 && !done[0]; i++) {
      ask(w, i % 3, "POST", path, body, r -> done[0] |= r.status() == 200);
      w.run(1000);
    }
    assertTrue(done[0], "not taken: " + path);
  }

  // ---- never an older view ----

  /** Whatever fails: an answer is as new as its question, and reasons bind. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void answersAreNeverOlderThanTheirQuestions(long seed) {
    SimulatedCluster w = world(seed, SimulatedCluster.Size.SMALL);
    RandomFaults faults = new RandomFaults(w);
    w.run(10_000);
    faults.injectRepeatedly(4000);
    try {
      for (int i = 0; i < 700; i++) {
        question(w);
        w.run(w.sim.between(200, 800));
      }
      faults.stop();
      w.run(30_000);
      SeededDaysTest.settle(w);
    } catch (AssertionError e) {
      throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
    }
    assertTrue(told.getOrDefault("200", 0) > 150, "answers: " + told);
    assertTrue(told.getOrDefault("waits", 0) > 3, "answers: " + told);
  }

  private void question(SimulatedCluster w) {
    List<String> refs =
        w.users.jobs.values().stream()
            .filter(j -> w.sim.chance(0.1) || j.finalStatus() == null)
            .map(j -> j.ref)
            .toList();
    if (refs.isEmpty()) {
      return;
    }
    String ref = refs.get((int) w.sim.between(0, refs.size() - 1));
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
    String path = paths[(int) w.sim.between(0, paths.length - 1)];
    int node = (int) w.sim.between(0, 2);
    long epoch = w.state.epoch();
    JsonNode termKey = w.state.value("live/term");
    long term = termKey == null ? 0 : termKey.path("term").asLong();
    long asked = w.sim.now();
    boolean accepted = w.users.jobs.get(ref).accepted;
    ask(
        w,
        node,
        "GET",
        path,
        null,
        r -> {
          told.merge(Integer.toString(r.status()), 1, Integer::sum);
          if (r.status() == 200) {
            JsonNode b = Json.parse(r.body());
            JsonNode asOf = b.path("asOf");
            if (asOf.path("epoch").asLong() < epoch || asOf.path("term").asLong() < term) {
              w.checker.reportViolation(path + " is told as of " + asOf + ", asked at " + epoch);
            }
            if (path.endsWith("/why")) {
              why(w, w.users.jobs.get(ref), b);
            }
          } else if (r.status() == 503 && w.sim.now() - asked > 6000) {
            w.checker.reportViolation("503 after " + (w.sim.now() - asked) + " ms for " + path);
          } else if (r.status() == 404 && accepted && path.contains(ref)) {
            w.checker.reportViolation("404 for " + path);
          } else if (r.status() == 500) {
            w.checker.reportViolation("500 for " + path);
          }
        });
  }

  /** Reasons of what waits are never empty, and name no rule that its job does not have. */
  private void why(SimulatedCluster w, SimulatedUsers.KnownJob job, JsonNode b) {
    if (b.path("waiting_tasks").asInt() == 0) {
      return;
    }
    told.merge("waits", 1, Integer::sum);
    if (b.path("reasons").isEmpty()) {
      w.checker.reportViolation("no reason for " + job.ref);
    }
    for (JsonNode r : b.path("reasons")) {
      String reason = r.path("reason").asText();
      boolean binds =
          switch (reason) {
            case "spot" -> !job.body.path("loaners").asBoolean();
            case "spread" -> job.body.path("apart").asBoolean();
            case "together" -> job.body.path("together").asBoolean();
            case "gang" -> job.body.path("shape").asText().equals("gang");
            case "held-for-services" -> job.body.path("loaners").asBoolean() && !job.service;
            case "drained" -> !w.state.keys("live/drain").isEmpty();
            case "team-limit" -> demand(w, job) > w.size.maxTeamCpus() - job.cpus - 1e-6;
            default -> true;
          };
      if (!binds) {
        w.checker.reportViolation(reason + " is named for " + job.ref + ", which has no such rule");
      }
    }
  }

  /** CPUs that the team's jobs could use at most; nothing can bind that lies above. */
  private static double demand(SimulatedCluster w, SimulatedUsers.KnownJob job) {
    return w.users.jobs.values().stream()
        .filter(o -> o.body.path("owner").equals(job.body.path("owner")))
        .mapToDouble(o -> o.cpus * o.taskCount)
        .sum();
  }

  static Set<String> reasons(SimulatedCluster w, SimulatedUsers.KnownJob job) {
    Set<String> out = new HashSet<>();
    answer(w, "/v1/jobs/" + job.ref + "/why")
        .path("reasons")
        .forEach(r -> out.add(r.path("reason").asText()));
    return out;
  }

  static SimulatedCluster quiet(long seed, SimulatedCluster.Size size) {
    SimulatedCluster w = world(seed, size);
    w.network.lossProbability = 0;
    w.users.submissionsStopped = true;
    w.run(6000);
    return w;
  }

  // ---- half of every class and team ----

  /** The leader counts what each team was served exactly as users and machines saw it. */
  @Test
  void whatTeamsWereServedIsSaidAsItIs() {
    SimulatedCluster w = world(16, SimulatedCluster.Size.SMALL);
    w.network.lossProbability = 0;
    w.run(60_000);
    w.users.submissionsStopped = true;
    w.run(60_000);
    for (JsonNode row : answer(w, "/v1/teams").path("rows")) {
      InvariantChecker.JobTally seen =
          w.checker
              .jobTallies()
              .getOrDefault("team " + row.path("team").asText(), new InvariantChecker.JobTally());
      JsonNode told = row.path("served");
      assertEquals(seen.accepted, told.path("accepted").asInt(), row + " " + seen);
      assertEquals(seen.started, told.path("started").asInt(), row + " " + seen);
      assertEquals(seen.dueToComplete, told.path("due").asInt(), row + " " + seen);
      assertEquals(seen.done, told.path("done").asInt(), row + " " + seen);
    }
  }

  /** A day on which one team gets nothing has failed, whatever the others got. */
  @Test
  void aTeamThatIsNotServedFailsTheDay() {
    SimulatedCluster w = quiet(17, new SimulatedCluster.Size(2, 1000, 1_000_000, 1));
    w.users.submitArray("one", "standard", 4, 5);
    w.run(30_000);
    w.checker.checkHalfServed();
    w.cloud.setCapacityShare(0);
    w.users.submitArray("two", "standard", 8, 500);
    w.run(30_000);
    AssertionError failed = assertThrows(AssertionError.class, w.checker::checkHalfServed);
    assertTrue(failed.getMessage().contains("team two"), failed.getMessage());
  }
}
