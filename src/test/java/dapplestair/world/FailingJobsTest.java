package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.emulator.EmulatedWorker;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Jobs submitted with a mistake, which fail on every machine, and machines that fail every task:
 * each side is blamed for its own, whatever else is under way, and the rules hold after each step.
 */
class FailingJobsTest {
  private static final int STEPS = 24;

  /** Operators are served, so that what the product says of machines can be read. */
  private static SimulatedCluster begun(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, SimulatedCluster.Size.MIDDLE, true);
    w.net.loss = 0;
    w.users.quiet = true;
    for (int i = 0; i < 6; i++) {
      w.users.service(i % 2 == 0 ? "one" : "two", 3);
    }
    for (int i = 0; i < 6; i++) {
      w.users.array(i % 2 == 0 ? "one" : "two", "high", STEPS, 8);
    }
    w.run(25_000);
    return w;
  }

  private static SimulatedUsers.KnownJob wrong(SimulatedCluster w, int mistaken) {
    return w.users.changed("one", STEPS, 5, b -> b.put("mistakenSteps", mistaken));
  }

  /** Machines that the leader of now has blamed, by its own account; they may be gone by now. */
  private static Set<String> faulty(SimulatedCluster w) {
    Set<String> out = new HashSet<>();
    JsonNode events =
        OperatorsTest.awaitResponse(w, "/v1/events?limit=500&where=kind%20%3D%20faulty");
    for (JsonNode e : events.path("rows")) {
      out.add(e.path("machine").asText());
    }
    return out;
  }

  private static SimulatedUsers.KnownJob good(SimulatedCluster w, int i) {
    return w.users.array(i % 2 == 0 ? "one" : "two", "high", 12, 6);
  }

  /** Half of all jobs are wrong: no machine is emptied for it, and the other half is served. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2001, 2002, 2003, 2004})
  void noMachineIsBlamedForJobs(long seed) {
    SimulatedCluster w = begun(seed);
    List<SimulatedUsers.KnownJob> wrong = new ArrayList<>();
    List<SimulatedUsers.KnownJob> good = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      wrong.add(wrong(w, STEPS));
      good.add(good(w, i));
      w.run(1500);
      assertEquals(Set.of(), faulty(w), "machines emptied");
    }
    w.run(60_000);
    assertEquals(Set.of(), faulty(w), "machines emptied");
    good.forEach(j -> assertTrue(j.done, j.ref + " is not done"));
    for (SimulatedUsers.KnownJob j : wrong) {
      assertTrue(j.accepted && j.finalState() == null, j.ref + " is called " + j.finalState());
      // One wave, of which what failed first may have begun again, and then one task at a time.
      assertTrue(j.starts <= 2 * STEPS, j.ref + " was started " + j.starts + " times");
      w.users.cancel(j);
    }
    w.run(SimulatedCluster.CANCEL_MS);
    wrong.forEach(j -> assertTrue(j.aborted, j.ref + " is not cancelled"));
  }

  /** Nothing is rented for a job that fails wherever it runs, nor does it hold what is there. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2011, 2012})
  void aWrongJobTakesNoRoom(long seed) {
    SimulatedCluster w = begun(seed);
    SimulatedUsers.KnownJob wrong =
        w.users.changed("one", 120, 5, b -> b.put("mistakenSteps", 120));
    w.run(40_000);
    int starts = wrong.starts;
    Set<String> before = machines(w);
    w.run(90_000);
    Set<String> rented = machines(w);
    rented.removeAll(before);
    assertTrue(rented.size() <= 2, "rented meanwhile: " + rented);
    assertTrue(wrong.starts - starts <= 6, wrong.starts - starts + " probes in 90 s");
    assertTrue(wrong.starts > starts, "it is not tried any more");
    JsonNode why = OperatorsTest.awaitResponse(w, "/v1/jobs/" + wrong.ref + "/why");
    assertTrue(why.path("failing").path("one_at_a_time").asBoolean(), why.toString());
    assertEquals(1, OperatorsTest.awaitResponse(w, "/v1/status").path("jobs_suspected").asInt());
  }

  private static Set<String> machines(SimulatedCluster w) {
    return w.cloud.machines().stream().map(EmulatedWorker::id).collect(Collectors.toSet());
  }

  /** Its user has mended the mistake: it runs to its end. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2021, 2022, 2023, 2024})
  void itRunsOnceItWorks(long seed) {
    SimulatedCluster w = begun(seed);
    SimulatedUsers.KnownJob wrong = wrong(w, STEPS);
    w.run(45_000);
    assertFalse(wrong.done);
    ((ObjectNode) wrong.body).remove("mistakenSteps");
    w.run(110_000);
    assertTrue(wrong.done, wrong.ref + " is not done, " + wrong.starts + " starts");
    assertEquals(Set.of(), faulty(w), "machines emptied");
  }

  /** A few tasks fail wherever they run: the others are done once each, and stay so. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2031, 2032, 2033, 2034})
  void whatIsDoneStaysDone(long seed) {
    SimulatedCluster w = begun(seed);
    SimulatedUsers.KnownJob some = wrong(w, 3);
    w.run(40_000);
    int starts = some.starts;
    JsonNode job = OperatorsTest.awaitResponse(w, "/v1/jobs/" + some.ref);
    assertEquals(STEPS - 3, job.path("done").asInt(), job.toString());
    w.run(60_000);
    assertTrue(some.starts - starts <= 24, some.starts - starts + " starts of three tasks in 60 s");
    assertEquals(Set.of(), faulty(w), "machines emptied");
    ((ObjectNode) some.body).remove("mistakenSteps");
    w.run(100_000);
    assertTrue(some.done, some.ref + " is not done");
  }

  /** Faulty machines among wrong jobs: those are emptied, and no others. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2041, 2042, 2043, 2044, 2045, 2046, 2047, 2049})
  void machinesAreBlamedForTheirOwn(long seed) {
    SimulatedCluster w = begun(seed);
    List<EmulatedWorker> up =
        w.cloud.machines().stream()
            .filter(m -> m.booted() && !m.gone() && m.tasks().stream().noneMatch(t -> t.service()))
            .toList();
    Set<String> sick = new HashSet<>();
    for (int i = 0; i < 3; i++) {
      EmulatedWorker m = up.get((int) w.sim.between(0, up.size() - 1));
      m.sicken();
      sick.add(m.id());
    }
    Map<String, Integer> before = Map.copyOf(w.checker.startsOn);
    Set<String> emptied = new HashSet<>();
    List<SimulatedUsers.KnownJob> good = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      if (i % 2 == 0) {
        wrong(w, STEPS);
      }
      good.add(good(w, i));
      good.add(good(w, i + 1));
      w.run(4000);
      emptied.addAll(faulty(w));
      noneInUse(w, emptied);
    }
    w.run(60_000);
    for (String id : sick) {
      int wasted = w.checker.startsOn.getOrDefault(id, 0) - before.getOrDefault(id, 0);
      assertTrue(wasted <= 12, wasted + " starts on faulty " + id);
    }
    emptied.removeAll(sick);
    assertEquals(Set.of(), emptied, "healthy machines emptied");
    good.forEach(j -> assertTrue(j.done, j.ref + " is not done"));
    long left = w.cloud.machines().stream().filter(m -> sick.contains(m.id()) && !m.gone()).count();
    assertTrue(left <= 1, left + " faulty machines are still there");
  }

  /** Found while workers were replaced: nothing of a service completes elsewhere, ever. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2082, 2083, 2084, 2086})
  void aMachineThatFailsReplicas(long seed) {
    SimulatedCluster w = begun(seed);
    w.cloud.setSick(true);
    w.cloud.machines().stream()
        .filter(m -> m.tasks().stream().anyMatch(t -> t.service()))
        .limit(2)
        .forEach(EmulatedWorker::end);
    w.run(20_000);
    w.cloud.setSick(false);
    w.run(60_000);
    long up =
        w.cloud.machines().stream()
            .filter(m -> !m.gone())
            .flatMap(m -> m.tasks().stream())
            .filter(t -> t.service() && t.onMachine())
            .count();
    assertEquals(18, up, "replicas");
  }

  private static void noneInUse(SimulatedCluster w, Set<String> blamed) {
    for (JsonNode m : OperatorsTest.awaitResponse(w, "/v1/machines?limit=500").path("rows")) {
      if (blamed.contains(m.path("id").asText())) {
        assertTrue(
            Set.of("faulty", "returning", "silent").contains(m.path("state").asText()),
            m.toString());
      }
    }
  }

  /** Wrong services and gangs are tried one pause after the other, as a gang must, as a whole. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2051, 2052})
  void wrongServicesAndGangs(long seed) {
    SimulatedCluster w = begun(seed);
    SimulatedUsers.KnownJob gang =
        w.users.changed("one", 6, 4, b -> b.put("mistakenSteps", 6).put("shape", "gang"));
    SimulatedUsers.KnownJob service =
        w.users.changed(
            "two",
            6,
            0,
            b ->
                b.put("mistakenSteps", 6)
                    .put("shape", "daemon")
                    .put("rank", "critical")
                    .put("vcpus", 1.0)
                    .put("loaners", false));
    w.run(100_000);
    assertTrue(gang.starts <= 6 * 8, gang.starts + " starts of a gang of 6");
    assertTrue(service.starts <= 6 * 3, service.starts + " starts of a service of 6");
    assertEquals(Set.of(), faulty(w), "machines emptied");
    ((ObjectNode) service.body).remove("mistakenSteps");
    ((ObjectNode) gang.body).remove("mistakenSteps");
    w.run(130_000);
    assertTrue(gang.done, "the gang is not done");
    assertEquals(
        6,
        OperatorsTest.awaitResponse(w, "/v1/jobs/" + service.ref).path("running").asInt(),
        "replicas");
  }

  /** New machines on which wrong jobs fail are not to blame: workers go on being replaced. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2071, 2072})
  void newMachinesAreNotBlamedForJobs(long seed) {
    SimulatedCluster w = begun(seed);
    OperatorsTest.submitOrder(w, "/v1/replacements/night/start", ReplacementTest.orderForAll(6, 6));
    for (int i = 0; i < 20; i++) {
      wrong(w, STEPS);
      w.run(4000);
      String remark = OperatorsTest.awaitResponse(w, "/v1/replacements/night").toString();
      assertFalse(remark.contains("fail tasks"), remark);
    }
  }

  /** The next leader knows which jobs fail wherever they run, without trying all of them again. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2061, 2062, 2063, 2064})
  void itOutlivesALeader(long seed) {
    SimulatedCluster w = begun(seed);
    SimulatedUsers.KnownJob wrong = wrong(w, STEPS);
    w.run(40_000);
    int starts = wrong.starts;
    for (int i = 0; i < 3; i++) {
      w.leader().crash(3000);
      w.run(15_000);
    }
    assertTrue(wrong.starts - starts <= 9, wrong.starts - starts + " starts under three leaders");
    good(w, 1);
    w.run(30_000);
    assertEquals(Set.of(), faulty(w), "machines emptied");
  }

  /** Seeds on which one of the three causes, or two of them, kept a machine from being blamed. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2048, 2055, 2061, 2064, 2080, 2086, 2106, 2111, 2125, 2143, 2165})
  void whateverHidesThemMachinesAreBlamed(long seed) {
    machinesAreBlamedForTheirOwn(seed);
  }

  /** One job does not run into the same machine again and again while others are full. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2311, 2312, 2313, 2314, 2315, 2316})
  void aJobDoesNotStartAgainWhereItFailed(long seed) {
    SimulatedCluster w = begun(seed);
    EmulatedWorker sick =
        w.cloud.machines().stream()
            .filter(m -> m.booted() && !m.gone() && m.tasks().isEmpty())
            .findFirst()
            .orElseThrow();
    sick.sicken();
    String id = sick.id();
    int before = w.checker.startsOn.getOrDefault(id, 0);
    w.cloud.setDown(true);
    w.users.changed("one", 600, 9, b -> b.put("mistakenSteps", 600));
    w.run(8000);
    int starts = w.checker.startsOn.getOrDefault(id, 0) - before;
    assertTrue(starts <= 8, starts + " starts on faulty " + id);
  }
}
