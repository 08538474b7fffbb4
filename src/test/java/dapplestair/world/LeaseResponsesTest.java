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
  private static final long MAX_LAUNCH_DELAY_MS =
      (SimulatedCluster.CANCEL_MS - SimulatedCluster.LEASE_MS - SimulatedCluster.LEASE_MS / 16) / 4;

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

    HttpReply sendReport(SimulatedCluster.ControllerNode node, JsonNode tasks, long token) {
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

  private static Set<String> haltedAttempts(HttpReply reply) {
    Set<String> keys = new HashSet<>();
    Json.parse(reply.body())
        .path("orders")
        .forEach(o -> keys.add(o.path("step").asText() + "#" + o.path("try").asInt()));
    return keys;
  }

  /**
   * Halts of jobs that are not done: of those that are, what is on record may be halted as well.
   */
  private static Set<String> haltedAttemptsOfOpenJobs(
      CancellationOutageTest.Day day, HttpReply reply) {
    Set<String> keys = haltedAttempts(reply);
    keys.removeIf(
        key -> {
          JsonNode jobRecord = day.w.state.value("over/" + key.substring(0, key.indexOf('/')));
          return jobRecord != null && jobRecord.path("status").asText().equals("done");
        });
    return keys;
  }

  /** The tasks of these jobs among {@code tasks}. */
  private static Set<String> attemptsOf(List<SimulatedUsers.KnownJob> jobs, JsonNode tasks) {
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
  private static Reporter reporterWithCancelledAndKeptTasks(CancellationOutageTest.Day day) {
    return day.w.cloud.machines().stream()
        .filter(m -> !m.gone() && m.booted())
        .map(Reporter::new)
        .filter(
            r ->
                !attemptsOf(day.cancelled, r.tasks()).isEmpty()
                    && !attemptsOf(day.kept, r.tasks()).isEmpty())
        .findFirst()
        .orElseThrow();
  }

  /** A follower that was told of cancellations answers in an outage of all. */
  private static Reporter reporterToInformedFollower(CancellationOutageTest.Day day) {
    Reporter reporter = reporterWithCancelledAndKeptTasks(day);
    CancellationOutageTest.refuse(day);
    day.cancel(day.second);
    day.w.state.fail();
    // Its own reports must not meet those of the test, and who asks here is told here once more.
    day.w.net.cut(SimulatedCluster.client(day.third.index), reporter.machine.endpoint(), false);
    day.w.net.cut(SimulatedCluster.client(day.third.index), "users", false);
    day.w.run(SimulatedCluster.REPORT_MS);
    // The first is sent on to the leader; one that comes again was not taken there.
    assertEquals(421, reporter.sendReport(day.third, reporter.tasks(), reporter.token()).status());
    return reporter;
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8201, 8202, 8203})
  void aFollowersResponseHaltsCancelledTasks(long seed) {
    CancellationOutageTest.Day day = new CancellationOutageTest.Day(seed);
    Reporter reporter = reporterToInformedFollower(day);
    Set<String> cancelled = attemptsOf(day.cancelled, reporter.tasks());
    HttpReply reply = reporter.sendReport(day.third, reporter.tasks(), reporter.token());
    token(reply);
    assertEquals(cancelled, haltedAttemptsOfOpenJobs(day, reply));
    // Whatever was launched between the report and the answer is on record only.
    reply = reporter.sendReport(day.third, Json.object().putArray("steps"), reporter.token());
    token(reply);
    assertEquals(cancelled, haltedAttemptsOfOpenJobs(day, reply), "tasks that the report lacks");
    String key = day.cancelled.get(0).ref + "/0";
    ArrayNode unrecorded = Json.object().putArray("steps");
    unrecorded.addObject().put("step", key).put("try", 99).put("status", "fetching");
    reply = reporter.sendReport(day.third, unrecorded, reporter.token());
    assertTrue(haltedAttempts(reply).contains(key + "#99"), "a task that is on no record");
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8201, 8202, 8203})
  void aFollowerRaisesTheTokenUntilNoLaunchCanBeSent(long seed) {
    CancellationOutageTest.Day day = new CancellationOutageTest.Day(seed);
    Reporter reporter = reporterToInformedFollower(day);
    long firstToken = token(reporter.sendReport(day.third, reporter.tasks(), reporter.token()));
    assertTrue(
        firstToken >= reporter.token() + 2 * FencingToken.MAX_FENCE_LEAD,
        "raised above any launch");
    day.w.run(MAX_LAUNCH_DELAY_MS + SimulatedCluster.REPORT_MS);
    long secondToken = token(reporter.sendReport(day.third, reporter.tasks(), firstToken));
    assertTrue(
        secondToken > firstToken, "a raise while launches could still be sent does not count");
    day.w.run(SimulatedCluster.REPORT_MS);
    assertEquals(
        secondToken,
        token(reporter.sendReport(day.third, reporter.tasks(), secondToken)),
        "once is enough");
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8201, 8202, 8203})
  void aFollowerKeepsNoLeaseForJobsItDoesNotKnow(long seed) {
    CancellationOutageTest.Day day = new CancellationOutageTest.Day(seed);
    Reporter reporter = reporterToInformedFollower(day);
    token(reporter.sendReport(day.third, reporter.tasks(), reporter.token()));
    ArrayNode tasks = reporter.tasks().deepCopy();
    tasks.addObject().put("step", "wk-999999/0").put("try", 1).put("status", "running");
    assertEquals(
        503,
        reporter.sendReport(day.third, tasks, reporter.token()).status(),
        "a job nobody here knows");
    ((ObjectNode) tasks.get(tasks.size() - 1)).put("status", "exited").put("cause", "done");
    token(reporter.sendReport(day.third, tasks, reporter.token()));
  }

  /** A leader raises the token while a launch of a cancelled job has no answer. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8211, 8212, 8213})
  void aLeaderRaisesTheTokenAboveAnUnansweredLaunch(long seed) {
    CancellationOutageTest.Day day = new CancellationOutageTest.Day(seed);
    setCutFromMachines(day, true);
    SimulatedUsers.KnownJob job = day.w.users.array("one", "high", 4, 150);
    waitUntil(day, () -> !hostsOnRecord(day, job).isEmpty());
    List<Reporter> reporters = hostsOnRecord(day, job).stream().map(Reporter::new).toList();
    day.w.users.cancelAt(job, day.second);
    waitUntil(day, () -> job.aborted);
    for (Reporter r : reporters) {
      HttpReply reply = r.sendReport(day.old, r.tasks(), r.token());
      assertTrue(token(reply) > r.token(), "above the launch, which carries the token shown");
      assertTrue(
          haltedAttempts(reply).stream().anyMatch(k -> k.startsWith(job.ref + "/")), "halted");
    }
    setCutFromMachines(day, false);
    day.w.run(SimulatedCluster.CANCEL_MS);
  }

  /** Calls of the old leader get no answer; what was called is lost. Reports go on. */
  private static void setCutFromMachines(CancellationOutageTest.Day day, boolean cut) {
    String node = "node-" + day.old.index;
    for (EmulatedWorker m : day.w.cloud.machines()) {
      if (cut) {
        day.w.net.cut(node, m.endpoint(), false);
      } else {
        day.w.net.heal(node, m.endpoint());
      }
    }
  }

  private static List<EmulatedWorker> hostsOnRecord(
      CancellationOutageTest.Day day, SimulatedUsers.KnownJob job) {
    String records = "";
    for (String key : day.w.state.keys("live/")) {
      if (key.startsWith("live/run/" + job.ref) || key.startsWith("live/sheet/")) {
        records += day.w.state.value(key);
      }
    }
    String allRecords = records;
    return day.w.cloud.machines().stream()
        .filter(m -> !m.gone() && allRecords.contains(m.id()))
        .toList();
  }

  /**
   * Machines refuse the leader's connections, so that launches wait; meanwhile their job is
   * cancelled, and nobody is left to tell the leader. When the machines take connections again, it
   * is too late to launch.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8221, 8222, 8223})
  void noLaunchIsSentAfterTheMaximumDelay(long seed) {
    CancellationOutageTest.Day day = new CancellationOutageTest.Day(seed);
    boolean[] refusing = {true};
    for (EmulatedWorker m : day.w.cloud.machines()) {
      day.w.net.place(m.endpoint(), refusingConnections("node-" + day.old.index, refusing, m));
    }
    SimulatedUsers.KnownJob job = day.w.users.array("two", "high", 4, 150);
    waitUntil(day, () -> !hostsOnRecord(day, job).isEmpty());
    CancellationOutageTest.refuse(day);
    day.links("refused", true);
    day.w.users.cancelAt(job, day.second);
    waitUntil(day, () -> job.aborted);
    day.second.crash(3 * SimulatedCluster.CANCEL_MS);
    day.w.state.fail();
    day.w.run(MAX_LAUNCH_DELAY_MS);
    assertEquals(0, job.starts, "the launches wait");
    refusing[0] = false;
    day.w.run(SimulatedCluster.REPORT_MS);
    assertEquals(0, job.starts, "late launches");
  }

  private static RequestHandler refusingConnections(
      String node, boolean[] refusing, RequestHandler machine) {
    return (from, method, path, body, reply) -> {
      if (refusing[0] && from.equals(node)) {
        reply.accept(HttpReply.of(HttpReply.NOT_SENT));
      } else {
        machine.request(from, method, path, body, reply);
      }
    };
  }

  /** Holds back streams of changes, and the transaction of a cancellation, on its way. */
  private static final class DelayedStateService implements RequestHandler {
    private final RequestHandler state;
    private final Set<String> blockedNodes = new HashSet<>();
    private final List<Runnable> heldResponses = new ArrayList<>();
    private Runnable cancellation;

    DelayedStateService(RequestHandler state) {
      this.state = state;
    }

    @Override
    public void request(
        String from, String method, String path, byte[] body, Consumer<HttpReply> reply) {
      if (path.equals("/commit")
          && cancellation == null
          && Json.parse(body).toString().contains("\"remove\":\"live/job/")) {
        cancellation = () -> state.request(from, method, path, body, reply);
        blockedNodes.add(from);
        return;
      }
      state.request(
          from,
          method,
          path,
          body,
          r -> {
            if (path.startsWith("/changes") && blockedNodes.contains(from)) {
              heldResponses.add(() -> reply.accept(r));
            } else {
              reply.accept(r);
            }
          });
    }

    void releaseChanges(String node) {
      blockedNodes.remove(node);
      List<Runnable> heldNow = List.copyOf(heldResponses);
      heldResponses.clear();
      heldNow.forEach(Runnable::run);
    }
  }

  /**
   * An attempt goes on record after the canceller's last read and before its transaction: the user
   * is told only once that attempt has been read, so that whoever is told can halt it.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8231, 8232, 8233})
  void aCancellationIsConfirmedOnlyOnceAllAttemptsAreRead(long seed) {
    CancellationOutageTest.Day day = new CancellationOutageTest.Day(seed);
    DelayedStateService stateService = new DelayedStateService(day.w.state);
    day.w.net.place("state:1", stateService);
    stateService.blockedNodes.add("node-" + day.old.index);
    SimulatedUsers.KnownJob job = day.w.users.array("one", "high", 4, 150);
    waitUntil(day, () -> job.accepted);
    day.w.users.cancelAt(job, day.second);
    waitUntil(day, () -> stateService.cancellation != null);
    // The leader learns of the job only now, and launches it, while the canceller sees nothing.
    stateService.releaseChanges("node-" + day.old.index);
    waitUntil(day, () -> !hostsOnRecord(day, job).isEmpty());
    List<Reporter> reporters = hostsOnRecord(day, job).stream().map(Reporter::new).toList();
    stateService.cancellation.run();
    day.w.run(SimulatedCluster.REPORT_MS / 4);
    assertFalse(job.aborted, "told before the launches were read");
    stateService.releaseChanges("node-" + day.second.index);
    waitUntil(day, () -> job.aborted);
    day.w.run(SimulatedCluster.CANCEL_MS);
    assertEquals(0, day.running(job), "cancelled tasks");
    assertFalse(reporters.isEmpty());
  }

  private static void waitUntil(CancellationOutageTest.Day day, BooleanSupplier condition) {
    for (int i = 0; i < 400 && !condition.getAsBoolean(); i++) {
      day.w.run(10);
    }
    assertTrue(condition.getAsBoolean(), "it does not come about");
  }
}
