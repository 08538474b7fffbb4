package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.emulator.EmulatedWorker;
import dapplestair.emulator.RequestHandler;
import dapplestair.json.Json;
import dapplestair.leadership.FencingToken;
import dapplestair.ports.HttpReply;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards of the proof in docs/cancellations.md that other layers hide on a whole day: each is shown
 * by the answer that one controller gives to one report, or by the moment of one message.
 */
class LeaseResponsesTest {
  /** For how long after a cancellation a leader that does not know of it may send launches. */
  private static final long LAUNCH_MS =
      (SimulatedCluster.CANCEL_DEADLINE_MS
              - SimulatedCluster.LEASE_MS
              - SimulatedCluster.LEASE_MS / 16)
          / 4;

  /** Sends a machine's report as it is now, or changed by the test. */
  private static final class Reporter {
    private final EmulatedWorker machine;
    private final ObjectNode report;
    private long tick;

    Reporter(EmulatedWorker machine) {
      this.machine = machine;
      JsonNode[] status = new JsonNode[1];
      machine.request("test", "GET", "/status", null, r -> status[0] = Json.parse(r.body()));
      report = (ObjectNode) status[0];
      tick = report.path("tick").asLong();
    }

    HttpReply to(SimulatedCluster.ControllerNode node, JsonNode tasks, long token) {
      report.put("tick", tick++).put("baton", token).set("steps", tasks);
      HttpReply[] reply = new HttpReply[1];
      node.request(
          machine.endpoint(), "POST", "/agent/beat", Json.bytes(report), r -> reply[0] = r);
      return reply[0];
    }

    JsonNode tasks() {
      return report.path("steps");
    }

    long token() {
      return report.path("baton").asLong();
    }
  }

  private static long token(HttpReply reply) {
    assertEquals(200, reply.status(), "the lease is kept");
    return Json.parse(reply.body()).path("baton").asLong();
  }

  private static Set<String> halts(HttpReply reply) {
    Set<String> keys = new HashSet<>();
    Json.parse(reply.body())
        .path("orders")
        .forEach(o -> keys.add(o.path("step").asText() + "#" + o.path("try").asInt()));
    return keys;
  }

  /**
   * Halts of jobs that are not done: of those that are, what is on record may be halted as well.
   */
  private static Set<String> halts(CancellationOutageTest.Scenario d, HttpReply reply) {
    Set<String> keys = halts(reply);
    keys.removeIf(
        key -> {
          JsonNode over = d.cluster.state.value("over/" + key.substring(0, key.indexOf('/')));
          return over != null && over.path("status").asText().equals("done");
        });
    return keys;
  }

  /** The tasks of these jobs among {@code tasks}. */
  private static Set<String> of(List<SimulatedUsers.KnownJob> jobs, JsonNode tasks) {
    Set<String> keys = new HashSet<>();
    for (JsonNode t : tasks) {
      String key = t.path("step").asText();
      if (jobs.stream().anyMatch(j -> key.startsWith(j.ref + "/"))) {
        keys.add(key + "#" + t.path("try").asInt());
      }
    }
    return keys;
  }

  /** A machine that runs tasks to be cancelled as well as others. */
  private static Reporter mixed(CancellationOutageTest.Scenario d) {
    return d.cluster.cloud.machines().stream()
        .filter(m -> !m.isGone() && m.hasBooted())
        .map(Reporter::new)
        .filter(r -> !of(d.cancelled, r.tasks()).isEmpty() && !of(d.otherJobs, r.tasks()).isEmpty())
        .findFirst()
        .orElseThrow();
  }

  /** A follower that was told of cancellations answers in an outage of all. */
  private static Reporter toldFollower(CancellationOutageTest.Scenario d) {
    Reporter r = mixed(d);
    CancellationOutageTest.refuseOldLeader(d);
    d.cancelJobs(d.second);
    d.cluster.state.beginOutage();
    // Its own reports must not meet those of the test, and who asks here is told here once more.
    d.cluster.network.cut(
        SimulatedCluster.clientAddress(d.third.index), r.machine.endpoint(), false);
    d.cluster.network.cut(SimulatedCluster.clientAddress(d.third.index), "users", false);
    d.cluster.run(SimulatedCluster.REPORT_INTERVAL_MS);
    // The first is sent on to the leader; one that comes again was not taken there.
    assertEquals(421, r.to(d.third, r.tasks(), r.token()).status());
    return r;
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8201, 8202, 8203})
  void aFollowersAnswerHaltsCancelledTasks(long seed) {
    CancellationOutageTest.Scenario d = new CancellationOutageTest.Scenario(seed);
    Reporter r = toldFollower(d);
    Set<String> cancelled = of(d.cancelled, r.tasks());
    HttpReply answer = r.to(d.third, r.tasks(), r.token());
    token(answer);
    assertEquals(cancelled, halts(d, answer));
    // Whatever was launched between the report and the answer is on record only.
    answer = r.to(d.third, Json.object().putArray("steps"), r.token());
    token(answer);
    assertEquals(cancelled, halts(d, answer), "tasks that the report lacks");
    String key = d.cancelled.get(0).ref + "/0";
    ArrayNode unrecorded = Json.object().putArray("steps");
    unrecorded.addObject().put("step", key).put("try", 99).put("status", "fetching");
    answer = r.to(d.third, unrecorded, r.token());
    assertTrue(halts(answer).contains(key + "#99"), "a task that is on no record");
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8201, 8202, 8203})
  void aFollowerRaisesTheTokenUntilNoLaunchCanBeSent(long seed) {
    CancellationOutageTest.Scenario d = new CancellationOutageTest.Scenario(seed);
    Reporter r = toldFollower(d);
    long first = token(r.to(d.third, r.tasks(), r.token()));
    assertTrue(first >= r.token() + 2 * FencingToken.MAX_FENCE_LEAD, "raised above any launch");
    d.cluster.run(LAUNCH_MS + SimulatedCluster.REPORT_INTERVAL_MS);
    long second = token(r.to(d.third, r.tasks(), first));
    assertTrue(second > first, "a raise while launches could still be sent does not count");
    d.cluster.run(SimulatedCluster.REPORT_INTERVAL_MS);
    assertEquals(second, token(r.to(d.third, r.tasks(), second)), "once is enough");
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8201, 8202, 8203})
  void aFollowerKeepsNoLeaseForJobsItDoesNotKnow(long seed) {
    CancellationOutageTest.Scenario d = new CancellationOutageTest.Scenario(seed);
    Reporter r = toldFollower(d);
    token(r.to(d.third, r.tasks(), r.token()));
    ArrayNode tasks = r.tasks().deepCopy();
    tasks.addObject().put("step", "wk-999999/0").put("try", 1).put("status", "running");
    assertEquals(503, r.to(d.third, tasks, r.token()).status(), "a job nobody here knows");
    ((ObjectNode) tasks.get(tasks.size() - 1)).put("status", "exited").put("cause", "done");
    token(r.to(d.third, tasks, r.token()));
  }

  /** A leader raises the token while a launch of a cancelled job has no answer. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8211, 8212, 8213})
  void aLeaderKeepsOutALaunchOnItsWay(long seed) {
    CancellationOutageTest.Scenario d = new CancellationOutageTest.Scenario(seed);
    refuseMachines(d, true);
    SimulatedUsers.KnownJob job = d.cluster.users.submitArray("one", "high", 4, 150);
    waitUntil(d, () -> !hostsOnRecord(d, job).isEmpty());
    List<Reporter> reporters = hostsOnRecord(d, job).stream().map(Reporter::new).toList();
    d.cluster.users.cancelAt(job, d.second);
    waitUntil(d, () -> job.aborted);
    for (Reporter r : reporters) {
      HttpReply answer = r.to(d.oldLeader, r.tasks(), r.token());
      assertTrue(token(answer) > r.token(), "above the launch, which carries the token shown");
      assertTrue(halts(answer).stream().anyMatch(k -> k.startsWith(job.ref + "/")), "halted");
    }
    refuseMachines(d, false);
    d.cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS);
  }

  /** Calls of the old leader get no answer; what was called is lost. Reports go on. */
  private static void refuseMachines(CancellationOutageTest.Scenario d, boolean refused) {
    String node = "node-" + d.oldLeader.index;
    for (EmulatedWorker m : d.cluster.cloud.machines()) {
      if (refused) {
        d.cluster.network.cut(node, m.endpoint(), false);
      } else {
        d.cluster.network.heal(node, m.endpoint());
      }
    }
  }

  private static List<EmulatedWorker> hostsOnRecord(
      CancellationOutageTest.Scenario d, SimulatedUsers.KnownJob job) {
    String records = "";
    for (String key : d.cluster.state.keys("live/")) {
      if (key.startsWith("live/run/" + job.ref) || key.startsWith("live/sheet/")) {
        records += d.cluster.state.value(key);
      }
    }
    String text = records;
    return d.cluster.cloud.machines().stream()
        .filter(m -> !m.isGone() && text.contains(m.id()))
        .toList();
  }

  /**
   * Machines refuse the leader's connections, so that launches wait; meanwhile their job is
   * cancelled, and nobody is left to tell the leader. When the machines take connections again, it
   * is too late to launch.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8221, 8222, 8223})
  void noLaunchLeavesLongAfterTheLastKnowledge(long seed) {
    CancellationOutageTest.Scenario d = new CancellationOutageTest.Scenario(seed);
    boolean[] refusing = {true};
    for (EmulatedWorker m : d.cluster.cloud.machines()) {
      d.cluster.network.register(m.endpoint(), refusing("node-" + d.oldLeader.index, refusing, m));
    }
    SimulatedUsers.KnownJob job = d.cluster.users.submitArray("two", "high", 4, 150);
    waitUntil(d, () -> !hostsOnRecord(d, job).isEmpty());
    CancellationOutageTest.refuseOldLeader(d);
    d.cutLinks("refused", true);
    d.cluster.users.cancelAt(job, d.second);
    waitUntil(d, () -> job.aborted);
    d.second.crash(3 * SimulatedCluster.CANCEL_DEADLINE_MS);
    d.cluster.state.beginOutage();
    d.cluster.run(LAUNCH_MS);
    assertEquals(0, job.starts, "the launches wait");
    refusing[0] = false;
    d.cluster.run(SimulatedCluster.REPORT_INTERVAL_MS);
    assertEquals(0, job.starts, "late launches");
  }

  private static RequestHandler refusing(String node, boolean[] refusing, RequestHandler machine) {
    return (from, method, path, body, reply) -> {
      if (refusing[0] && from.equals(node)) {
        reply.accept(HttpReply.of(HttpReply.NOT_SENT));
      } else {
        machine.request(from, method, path, body, reply);
      }
    };
  }

  /** Holds back streams of changes, and the transaction of a cancellation, on its way. */
  private static final class HeldState implements RequestHandler {
    private final RequestHandler state;
    private final Set<String> blind = new HashSet<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private Runnable cancellation;

    HeldState(RequestHandler state) {
      this.state = state;
    }

    @Override
    public void request(
        String from, String method, String path, byte[] body, Consumer<HttpReply> reply) {
      if (path.equals("/commit")
          && cancellation == null
          && Json.parse(body).toString().contains("\"remove\":\"live/job/")) {
        cancellation = () -> state.request(from, method, path, body, reply);
        blind.add(from);
        return;
      }
      state.request(
          from,
          method,
          path,
          body,
          r -> {
            if (path.startsWith("/changes") && blind.contains(from)) {
              waiting.add(() -> reply.accept(r));
            } else {
              reply.accept(r);
            }
          });
    }

    void letSee(String node) {
      blind.remove(node);
      List<Runnable> late = List.copyOf(waiting);
      waiting.clear();
      late.forEach(Runnable::run);
    }
  }

  /**
   * An attempt goes on record after the canceller's last read and before its transaction: the user
   * is told only once that attempt has been read, so that whoever is told can halt it.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8231, 8232, 8233})
  void nobodyIsToldBeforeAllPlacesAreRead(long seed) {
    CancellationOutageTest.Scenario d = new CancellationOutageTest.Scenario(seed);
    HeldState state = new HeldState(d.cluster.state);
    d.cluster.network.register("state:1", state);
    state.blind.add("node-" + d.oldLeader.index);
    SimulatedUsers.KnownJob job = d.cluster.users.submitArray("one", "high", 4, 150);
    waitUntil(d, () -> job.accepted);
    d.cluster.users.cancelAt(job, d.second);
    waitUntil(d, () -> state.cancellation != null);
    // The leader learns of the job only now, and launches it, while the canceller sees nothing.
    state.letSee("node-" + d.oldLeader.index);
    waitUntil(d, () -> !hostsOnRecord(d, job).isEmpty());
    List<Reporter> reporters = hostsOnRecord(d, job).stream().map(Reporter::new).toList();
    state.cancellation.run();
    d.cluster.run(SimulatedCluster.REPORT_INTERVAL_MS / 4);
    assertFalse(job.aborted, "told before the launches were read");
    state.letSee("node-" + d.second.index);
    waitUntil(d, () -> job.aborted);
    d.cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS);
    assertEquals(0, d.running(job), "cancelled tasks");
    assertFalse(reporters.isEmpty());
  }

  private static void waitUntil(CancellationOutageTest.Scenario d, BooleanSupplier condition) {
    for (int i = 0; i < 400 && !condition.getAsBoolean(); i++) {
      d.cluster.run(10);
    }
    assertTrue(condition.getAsBoolean(), "it does not come about");
  }
}
