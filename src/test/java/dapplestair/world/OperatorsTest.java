package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.emulator.EmulatedWorker;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What operators are told and what they order, while everything else fails. */
class OperatorsTest {
  static final World.Size ROOMY = new World.Size(6, 60, 1_000_000, 1);

  private final Map<String, Integer> told = new HashMap<>();

  static World world(long seed, World.Size size) {
    return new World(seed, size, true);
  }

  static void ask(
      World w, int node, String method, String path, JsonNode body, Consumer<HttpReply> done) {
    byte[] bytes = body == null ? null : Json.bytes(body);
    w.net.call("users", World.admin(node), method, path, bytes, 8000, done);
  }

  /** Asks until somebody answers 200. */
  static JsonNode answer(World w, String path) {
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

  static void order(World w, String path, JsonNode body) {
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
    World w = world(seed, World.Size.SMALL);
    Troubles troubles = new Troubles(w);
    w.run(10_000);
    troubles.begin(4000);
    try {
      for (int i = 0; i < 700; i++) {
        question(w);
        w.run(w.sim.between(200, 800));
      }
      troubles.end();
      w.run(30_000);
      SeededDaysTest.settle(w);
    } catch (AssertionError e) {
      throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
    }
    assertTrue(told.getOrDefault("200", 0) > 150, "answers: " + told);
    assertTrue(told.getOrDefault("waits", 0) > 3, "answers: " + told);
  }

  private void question(World w) {
    List<String> refs =
        w.users.told.values().stream()
            .filter(j -> w.sim.chance(0.1) || j.finalState() == null)
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
    boolean accepted = w.users.told.get(ref).accepted;
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
              w.checker.broken(path + " is told as of " + asOf + ", asked at " + epoch);
            }
            if (path.endsWith("/why")) {
              why(w, w.users.told.get(ref), b);
            }
          } else if (r.status() == 503 && w.sim.now() - asked > 6000) {
            w.checker.broken("503 after " + (w.sim.now() - asked) + " ms for " + path);
          } else if (r.status() == 404 && accepted && path.contains(ref)) {
            w.checker.broken("404 for " + path);
          } else if (r.status() == 500) {
            w.checker.broken("500 for " + path);
          }
        });
  }

  /** Reasons of what waits are never empty, and name no rule that its job does not have. */
  private void why(World w, Users.Told job, JsonNode b) {
    if (b.path("waiting_tasks").asInt() == 0) {
      return;
    }
    told.merge("waits", 1, Integer::sum);
    if (b.path("reasons").isEmpty()) {
      w.checker.broken("no reason for " + job.ref);
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
            case "team-limit" -> demand(w, job) > w.size.teamLimit() - job.cpus - 1e-6;
            default -> true;
          };
      if (!binds) {
        w.checker.broken(reason + " is named for " + job.ref + ", which has no such rule");
      }
    }
  }

  /** CPUs that the team's jobs could use at most; nothing can bind that lies above. */
  private static double demand(World w, Users.Told job) {
    return w.users.told.values().stream()
        .filter(o -> o.body.path("owner").equals(job.body.path("owner")))
        .mapToDouble(o -> o.cpus * o.steps)
        .sum();
  }

  // ---- reasons, each with a state made for it ----

  static Set<String> reasons(World w, Users.Told job) {
    Set<String> out = new HashSet<>();
    answer(w, "/v1/jobs/" + job.ref + "/why")
        .path("reasons")
        .forEach(r -> out.add(r.path("reason").asText()));
    return out;
  }

  static World quiet(long seed, World.Size size) {
    World w = world(seed, size);
    w.net.loss = 0;
    w.users.quiet = true;
    w.run(6000);
    return w;
  }

  @Test
  void theTeamsLimitIsNamed() {
    World w = quiet(1, new World.Size(40, 20, 1_000_000, 1));
    Users.Told job = w.users.array("one", "standard", 60, 300);
    w.run(40_000);
    assertTrue(reasons(w, job).contains("team-limit"), reasons(w, job).toString());
  }

  @Test
  void aCloudWithNothingToGiveIsNamed() {
    World w = quiet(2, new World.Size(1, 1000, 1_000_000, 1));
    Users.Told job = w.users.array("one", "standard", 100, 300);
    w.run(40_000);
    Set<String> all = reasons(w, job);
    assertTrue(all.contains("cloud-refused") && all.contains("full"), all.toString());
  }

  @Test
  void machinesOnTheirWayAreNamed() {
    World w = quiet(3, ROOMY);
    Users.Told job = w.users.array("one", "standard", 60, 300);
    w.run(4500);
    JsonNode why = answer(w, "/v1/jobs/" + job.ref + "/why");
    boolean booting = false;
    for (JsonNode r : why.path("reasons")) {
      booting |= r.path("reason").asText().equals("booting") && r.path("in_s").asDouble() <= 4;
    }
    assertTrue(booting, why.toString());
    assertTrue(why.path("expected_start_s").asDouble(99) <= 4, why.toString());
  }

  @Test
  void drainedMachinesAreNamed() {
    World w = quiet(4, new World.Size(1, 1000, 1_000_000, 1));
    w.users.array("one", "standard", 10, 5);
    w.run(30_000);
    for (String zone : World.ZONES) {
      order(w, "/v1/zones/" + zone + "/drain", Json.object());
    }
    Users.Told job = w.users.array("one", "standard", 4, 300);
    w.run(10_000);
    Set<String> all = reasons(w, job);
    assertTrue(all.contains("drained"), all.toString());
    for (String zone : World.ZONES) {
      order(w, "/v1/zones/" + zone + "/undrain", null);
    }
    w.run(20_000);
    assertEquals(Set.of(), reasons(w, job));
  }

  @Test
  void aJobThatFailsEverywhereIsBackedOff() {
    World w = quiet(5, ROOMY);
    w.also = () -> w.cloud.machines().forEach(EmulatedWorker::sicken);
    Users.Told job = w.users.array("one", "standard", 6, 5);
    w.run(25_000);
    boolean named = false;
    for (int i = 0; i < 10 && !named; i++) {
      named = reasons(w, job).contains("backed-off");
      w.run(700);
    }
    assertTrue(named);
  }

  /** Machines of both kinds are up in all zones, and the cloud has no more to give. */
  private static World full(long seed, int perPlace) {
    return full(seed, perPlace, 15);
  }

  private static World full(long seed, int perPlace, double runS) {
    World w = quiet(seed, new World.Size(perPlace, 1000, 1_000_000, 1));
    w.users.array("one", "standard", 60, runS);
    w.users.changed("one", 60, 15, b -> b.put("loaners", false));
    w.run(60_000);
    w.cloud.setCapacity(0);
    return w;
  }

  @Test
  void spotMachinesThatAJobDoesNotWantAreNamed() {
    // Long enough that no spot machine has been returned as idle when the question comes.
    World w = full(6, 1, 60);
    Users.Told job = w.users.changed("one", 40, 300, b -> b.put("loaners", false));
    w.run(12_000);
    JsonNode why = answer(w, "/v1/jobs/" + job.ref + "/why");
    assertEquals(Set.of(), difference(Set.of("spot", "full"), reasons(w, job)), why.toString());
  }

  /** Room on ordinary machines that work which may run on spot ones leaves to the next replicas. */
  @Test
  void roomHeldForServicesIsNamed() {
    World w = quiet(8, new World.Size(1, 1000, 1_000_000, 1));
    // Services that lately arrived are what is expected to arrive again.
    for (int i = 0; i < 40; i++) {
      w.users.changed(
          "one",
          1,
          0,
          b ->
              b.put("shape", "daemon")
                  .put("jobclass", "serve")
                  .put("rank", "critical")
                  .put("vcpus", 0.25)
                  .put("loaners", false));
    }
    w.run(30_000);
    w.cloud.setCapacity(0);
    Users.Told job = w.users.array("one", "standard", 40, 300);
    boolean named = false;
    for (int i = 0; i < 20 && !named; i++) {
      w.run(1000);
      named = reasons(w, job).contains("held-for-services");
    }
    assertTrue(named, answer(w, "/v1/jobs/" + job.ref + "/why").toString());
  }

  /** A replica whose image lies where other work can be stopped sooner than a fetch would end. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {6, 8, 9, 10, 13, 18})
  void aReplicaThatAwaitsItsImageSaysSo(long seed) {
    World w = quiet(seed, new World.Size(1, 1000, 1_000_000, 1));
    Consumer<ObjectNode> service =
        b ->
            b.put("shape", "daemon")
                .put("jobclass", "serve")
                .put("rank", "critical")
                .put("loaners", false)
                .put("bundle", "img-large")
                .put("vcpus", 2.0)
                .put("imageGb", 8.0);
    Users.Told first = w.users.changed("one", 1, 0, service);
    w.run(25_000);
    EmulatedWorker holder = null;
    for (EmulatedWorker m : w.cloud.machines()) {
      holder = m.tasks().stream().anyMatch(t -> t.key().equals(first.ref + "/0")) ? m : holder;
    }
    String zone = holder.zone();
    // All of its zone is full of what may be stopped; others keep some room.
    w.cloud.setCapacity(0);
    w.users.changed(
        "one", 40, 300, b -> b.put("loaners", false).put("rank", "low").put("basin", zone));
    w.run(15_000);
    double others = 0;
    for (JsonNode r : answer(w, "/v1/machines").path("rows")) {
      double free = r.path("cpus").asDouble() - r.path("used").asDouble();
      if (r.path("id").asText().equals(holder.id())) {
        assertTrue(free < 2, "room where the image is: " + r);
      } else {
        others = Math.max(others, free);
      }
    }
    assertTrue(others >= 2, "no room elsewhere");
    // It waits for as long as a stop takes, less than one answer is waited for: this one takes a
    // second, and the question is asked all the time.
    for (World.Node n : w.nodes) {
      String from = "node-" + n.index;
      String to = holder.endpoint();
      w.net.cut(from, to, true);
      w.sim.after(1000, () -> w.net.heal(from, to));
    }
    Users.Told second = w.users.changed("one", 1, 0, service);
    Set<String> all = new LinkedHashSet<>();
    String why = "/v1/jobs/" + second.ref + "/why";
    for (int i = 0; i < 100 && all.stream().noneMatch(x -> x.contains("awaits-image")); i++) {
      ask(w, i % 3, "GET", why, null, r -> all.add(new String(r.body(), StandardCharsets.UTF_8)));
      w.run(20);
    }
    assertTrue(all.stream().anyMatch(x -> x.contains("awaits-image")), all.toString());
  }

  private static Set<String> difference(Set<String> wanted, Set<String> found) {
    Set<String> out = new HashSet<>(wanted);
    out.removeAll(found);
    return out;
  }

  @Test
  void theOnlyZoneAllowedIsNamed() {
    World w = full(7, 1);
    Users.Told job = w.users.changed("one", 40, 300, b -> b.put("basin", "b"));
    w.run(12_000);
    Set<String> all = reasons(w, job);
    assertEquals(Set.of(), difference(Set.of("not-allowed", "full"), all), all.toString());
  }

  @Test
  void theZoneOfTheOtherTasksIsNamed() {
    World w = quiet(8, new World.Size(1, 1000, 1_000_000, 1));
    w.users.array("one", "standard", 12, 8);
    w.run(24_000);
    w.cloud.setCapacity(0);
    Users.Told job = w.users.changed("one", 14, 300, b -> b.put("together", true));
    w.run(3000);
    Set<String> all = reasons(w, job);
    assertTrue(all.contains("together"), all + " " + answer(w, "/v1/machines"));
  }

  @Test
  void aCrowdedZoneIsNamed() {
    World w = quiet(9, new World.Size(2, 1000, 1_000_000, 1));
    order(w, "/v1/zones/b/drain", Json.object());
    order(w, "/v1/zones/c/drain", Json.object());
    Users.Told job = w.users.service("one", 6);
    w.run(40_000);
    Set<String> all = reasons(w, job);
    assertTrue(all.contains("spread"), all.toString());
    assertEquals(3, DrainTest.running(w, job));
  }

  @Test
  void aGangThatNeedsMoreRoomIsNamed() {
    World w = full(10, 1);
    Users.Told job = w.users.changed("one", 60, 300, b -> b.put("shape", "gang"));
    // What ran there before has ended by then.
    w.run(20_000);
    JsonNode why = answer(w, "/v1/jobs/" + job.ref + "/why");
    boolean named = false;
    for (JsonNode r : why.path("reasons")) {
      int room = r.path("room_for").asInt(-1);
      named |= r.path("reason").asText().equals("gang") && room > 0 && room < 60;
    }
    assertTrue(named, why.toString());
  }

  @Test
  void aGangThatHasWaitedLongIsNamedToThoseBehindIt() {
    World w = full(15, 1);
    w.users.changed("one", 60, 10, b -> b.put("shape", "gang"));
    w.run(45_000);
    Users.Told behind = w.users.array("one", "standard", 6, 300);
    w.run(4000);
    Set<String> all = reasons(w, behind);
    assertTrue(all.contains("behind-gang"), all.toString());
  }

  @Test
  void machinesThatFailEverythingAreNamed() {
    World w = full(14, 1);
    // What was empty has gone back meanwhile; some are up again for this.
    w.cloud.setCapacity(1);
    w.users.array("one", "standard", 20, 10);
    w.run(12_000);
    w.cloud.machines().forEach(EmulatedWorker::sicken);
    w.users.array("one", "standard", 6, 10);
    w.users.array("two", "standard", 6, 10);
    w.run(10_000);
    w.cloud.setDown(true);
    Users.Told job = w.users.array("one", "standard", 6, 10);
    w.run(20_000);
    Set<String> all = reasons(w, job);
    assertTrue(all.contains("faulty") || all.contains("returning"), all.toString());
  }

  // ---- half of every class and team ----

  /** The leader counts what each team was served exactly as users and machines saw it. */
  @Test
  void whatTeamsWereServedIsSaidAsItIs() {
    World w = world(16, World.Size.SMALL);
    w.net.loss = 0;
    w.run(60_000);
    w.users.quiet = true;
    w.run(60_000);
    for (JsonNode row : answer(w, "/v1/teams").path("rows")) {
      Checker.Served seen =
          w.checker
              .served()
              .getOrDefault("team " + row.path("team").asText(), new Checker.Served());
      JsonNode told = row.path("served");
      assertEquals(seen.accepted, told.path("accepted").asInt(), row + " " + seen);
      assertEquals(seen.started, told.path("started").asInt(), row + " " + seen);
      assertEquals(seen.due, told.path("due").asInt(), row + " " + seen);
      assertEquals(seen.done, told.path("done").asInt(), row + " " + seen);
    }
  }

  /** A day on which one team gets nothing has failed, whatever the others got. */
  @Test
  void aTeamThatIsNotServedFailsTheDay() {
    World w = quiet(17, new World.Size(2, 1000, 1_000_000, 1));
    w.users.array("one", "standard", 4, 5);
    w.run(30_000);
    w.checker.checkServed();
    w.cloud.setCapacity(0);
    w.users.array("two", "standard", 8, 500);
    w.run(30_000);
    AssertionError failed = assertThrows(AssertionError.class, w.checker::checkServed);
    assertTrue(failed.getMessage().contains("team two"), failed.getMessage());
  }
}
