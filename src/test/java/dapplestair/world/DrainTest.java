package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import dapplestair.json.Json;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Machines and zones that operators empty, while leaders end and operators disagree. */
class DrainTest {
  static long running(SimulatedCluster w, SimulatedUsers.KnownJob job) {
    return w.cloud.machines().stream()
        .filter(m -> !m.gone())
        .flatMap(m -> m.tasks().stream())
        .filter(t -> t.onMachine() && t.key().startsWith(job.ref + "/"))
        .count();
  }

  /** A zone is emptied; services never lack more than the one replica on its way. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {11, 12, 13})
  void drainingAZoneKeepsServicesWhole(long seed) {
    SimulatedCluster w = OperatorsTest.startQuietCluster(seed, OperatorsTest.ROOMY);
    List<SimulatedUsers.KnownJob> services =
        List.of(w.users.service("one", 4), w.users.service("two", 6), w.users.service("one", 3));
    w.run(60_000);
    services.forEach(s -> assertEquals(s.steps, running(w, s), s.ref + " runs before"));
    long[] least = {Long.MAX_VALUE};
    w.also =
        () -> {
          for (SimulatedUsers.KnownJob s : services) {
            least[0] = Math.min(least[0], running(w, s) - s.steps);
          }
        };
    OperatorsTest.submitOrder(w, "/v1/zones/a/drain", Json.object().put("why", "power"));
    w.run(120_000);
    assertTrue(least[0] >= -1, "a service lacked " + -least[0] + " replicas");
    services.forEach(s -> assertEquals(s.steps, running(w, s), s.ref + " runs after"));
    assertEquals(0, DisruptionTest.tasksIn(w, "a"), "tasks are left in the zone");
  }

  /** Two zones of three: the spread leaves no place for all, so those replicas stay. */
  @Test
  void replicasWithoutAPlaceStay() {
    SimulatedCluster w = OperatorsTest.startQuietCluster(21, OperatorsTest.ROOMY);
    SimulatedUsers.KnownJob service = w.users.service("one", 4);
    w.run(60_000);
    OperatorsTest.submitOrder(w, "/v1/zones/a/drain", Json.object().put("deadline_s", 5));
    OperatorsTest.submitOrder(w, "/v1/zones/b/drain", Json.object().put("deadline_s", 5));
    w.run(90_000);
    assertEquals(4, running(w, service));
    assertTrue(DisruptionTest.tasksIn(w, "c") <= 2, "the spread is kept");
  }

  /** The leader ends in the middle, again and again; the next one goes on. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {31, 32, 33, 34})
  void aDrainOutlivesItsLeader(long seed) {
    SimulatedCluster w = OperatorsTest.newCluster(seed, SimulatedCluster.Size.SMALL);
    w.run(30_000);
    OperatorsTest.submitOrder(
        w, "/v1/zones/b/drain", Json.object().put("why", "cooling").put("deadline_s", 20));
    for (int i = 0; i < 4; i++) {
      if (w.leader() != null) {
        w.leader().crash(w.sim.between(1000, 6000));
      }
      w.run(w.sim.between(3000, 9000));
    }
    w.users.quiet = true;
    w.run(90_000);
    JsonNode drains = OperatorsTest.awaitResponse(w, "/v1/drains");
    assertEquals("cooling", drains.path("rows").path(0).path("why").asText());
    long arrays =
        w.cloud.machines().stream()
            .filter(m -> !m.gone() && m.zone().equals("b"))
            .flatMap(m -> m.tasks().stream())
            .filter(t -> t.onMachine() && !w.users.told.get(ref(t)).service)
            .count();
    assertEquals(0, arrays, "arrays are left in the zone");
    OperatorsTest.submitOrder(w, "/v1/zones/b/undrain", null);
    SeededDaysTest.settle(w);
  }

  private static String ref(EmulatedTask t) {
    return t.key().substring(0, t.key().indexOf('/'));
  }

  /** A drained machine gets nothing new, is not returned unless asked, and is taken back. */
  @Test
  void aDrainedMachineIsLeftAlone() {
    SimulatedCluster w = OperatorsTest.startQuietCluster(41, OperatorsTest.ROOMY);
    w.users.array("one", "standard", 24, 4);
    w.run(25_000);
    EmulatedWorker m =
        w.cloud.machines().stream().filter(x -> x.booted() && !x.gone()).findFirst().orElseThrow();
    OperatorsTest.submitOrder(w, "/v1/machines/" + m.id() + "/drain", Json.object());
    w.run(10_000);
    long[] started = {0};
    w.also = () -> started[0] += m.tasks().stream().filter(EmulatedTask::onMachine).count();
    for (int i = 0; i < 6; i++) {
      w.users.array("one", "standard", 24, 4);
      w.run(20_000);
    }
    assertEquals(0, started[0], "something ran on a drained machine");
    assertTrue(!m.gone(), "a drained machine was returned");
    OperatorsTest.submitOrder(
        w, "/v1/machines/" + m.id() + "/drain", Json.object().put("return", true));
    w.run(90_000);
    assertTrue(m.gone(), "a machine drained with return is still rented");
    assertTrue(w.state.keys("live/drain/").isEmpty(), "the record of a machine that is gone stays");
  }

  /** Two who drain and undrain the same machine both get an answer, and the last one holds. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {51, 52, 53})
  void twoWhoDisagreeBothGetAnAnswer(long seed) {
    SimulatedCluster w = OperatorsTest.newCluster(seed, SimulatedCluster.Size.SMALL);
    w.run(30_000);
    String id = w.cloud.machines().iterator().next().id();
    int[] answers = new int[2];
    for (int i = 0; i < 40; i++) {
      String verb = i % 2 == 0 ? "drain" : "undrain";
      OperatorsTest.sendRequest(
          w,
          i % 3,
          "POST",
          "/v1/machines/" + id + "/" + verb,
          null,
          r -> {
            answers[r.status() == 200 || r.status() == 409 ? 0 : 1]++;
            assertTrue(r.status() != 500, "500");
          });
      w.run(w.sim.between(0, 40));
    }
    w.run(10_000);
    assertEquals(40, answers[0] + answers[1]);
    assertTrue(answers[0] >= 30, answers[0] + " of 40 answered for good");
  }
}
