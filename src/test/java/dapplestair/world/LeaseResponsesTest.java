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
 * Checks the steps of the proof in docs/cancellations.md that other layers hide in whole simulated
 * days. Each step shows in the response of one controller to one report, or in the timing of one
 * message.
 */
class LeaseResponsesTest {
  /** How long after a cancellation a leader that does not know of it may still send launches. */
  private static final long MAX_LAUNCH_DELAY_MS =
      (SimulatedCluster.CANCEL_DEADLINE_MS
              - SimulatedCluster.LEASE_MS
              - SimulatedCluster.LEASE_MS / 16)
          / 4;

  /** Sends the report of a machine, unchanged or changed by the test. */
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
    assertEquals(200, reply.status(), "the response does not keep the lease");
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
   * Returns the halts of jobs that are not done. Jobs that are done are left out, since their
   * recorded attempts may be halted as well.
   */
  private static Set<String> haltedAttemptsOfOpenJobs(
      CancellationOutageTest.Scenario day, HttpReply reply) {
    Set<String> keys = haltedAttempts(reply);
    keys.removeIf(
        key -> {
          JsonNode jobRecord =
              day.cluster.state.value("over/" + key.substring(0, key.indexOf('/')));
          return jobRecord != null && jobRecord.path("status").asText().equals("done");
        });
    return keys;
  }

  /** Returns the attempts of these jobs among {@code tasks}. */
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

  /** Returns a reporter for a machine that runs tasks to be cancelled as well as others. */
  private static Reporter reporterWithCancelledAndKeptTasks(CancellationOutageTest.Scenario day) {
    return day.cluster.cloud.machines().stream()
        .filter(m -> !m.isGone() && m.hasBooted())
        .map(Reporter::new)
        .filter(
            r ->
                !attemptsOf(day.cancelled, r.tasks()).isEmpty()
                    && !attemptsOf(day.otherJobs, r.tasks()).isEmpty())
        .findFirst()
        .orElseThrow();
  }

  /**
   * Returns a reporter to a follower that knows of cancellations and has to respond during a full
   * outage of the state service.
   */
  private static Reporter reporterToInformedFollower(CancellationOutageTest.Scenario day) {
    Reporter reporter = reporterWithCancelledAndKeptTasks(day);
    CancellationOutageTest.refuseOldLeader(day);
    day.cancelJobs(day.second);
    day.cluster.state.beginOutage();
    // Reports of the machine itself must not interfere with those of the test, and a user who asks
    // this follower would get the confirmation from it once more.
    day.cluster.network.cut(
        SimulatedCluster.clientAddress(day.third.index), reporter.machine.endpoint(), false);
    day.cluster.network.cut(SimulatedCluster.clientAddress(day.third.index), "users", false);
    day.cluster.run(SimulatedCluster.REPORT_INTERVAL_MS);
    // The first report is relayed to the leader; 421 shows that the leader did not take it.
    assertEquals(421, reporter.sendReport(day.third, reporter.tasks(), reporter.token()).status());
    return reporter;
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8201, 8202, 8203})
  void aFollowersResponseHaltsCancelledTasks(long seed) {
    CancellationOutageTest.Scenario day = new CancellationOutageTest.Scenario(seed);
    Reporter reporter = reporterToInformedFollower(day);
    Set<String> cancelled = attemptsOf(day.cancelled, reporter.tasks());
    HttpReply reply = reporter.sendReport(day.third, reporter.tasks(), reporter.token());
    token(reply);
    assertEquals(cancelled, haltedAttemptsOfOpenJobs(day, reply));
    // Attempts launched between the report and the response are known from the records only.
    reply = reporter.sendReport(day.third, Json.object().putArray("steps"), reporter.token());
    token(reply);
    assertEquals(
        cancelled,
        haltedAttemptsOfOpenJobs(day, reply),
        "cancelled tasks that the report lacks were not halted");
    String key = day.cancelled.get(0).ref + "/0";
    ArrayNode unrecorded = Json.object().putArray("steps");
    unrecorded.addObject().put("step", key).put("try", 99).put("status", "fetching");
    reply = reporter.sendReport(day.third, unrecorded, reporter.token());
    assertTrue(
        haltedAttempts(reply).contains(key + "#99"), "a task without a record was not halted");
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8201, 8202, 8203})
  void aFollowerRaisesTheTokenUntilNoLaunchCanBeSent(long seed) {
    CancellationOutageTest.Scenario day = new CancellationOutageTest.Scenario(seed);
    Reporter reporter = reporterToInformedFollower(day);
    long firstToken = token(reporter.sendReport(day.third, reporter.tasks(), reporter.token()));
    assertTrue(
        firstToken >= reporter.token() + 2 * FencingToken.MAX_FENCE_LEAD,
        "the token was not raised above any launch");
    day.cluster.run(MAX_LAUNCH_DELAY_MS + SimulatedCluster.REPORT_INTERVAL_MS);
    long secondToken = token(reporter.sendReport(day.third, reporter.tasks(), firstToken));
    assertTrue(
        secondToken > firstToken, "the token was not raised again once no launch could be sent");
    day.cluster.run(SimulatedCluster.REPORT_INTERVAL_MS);
    assertEquals(
        secondToken,
        token(reporter.sendReport(day.third, reporter.tasks(), secondToken)),
        "the token was raised a second time");
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8201, 8202, 8203})
  void aFollowerKeepsNoLeaseForJobsItDoesNotKnow(long seed) {
    CancellationOutageTest.Scenario day = new CancellationOutageTest.Scenario(seed);
    Reporter reporter = reporterToInformedFollower(day);
    token(reporter.sendReport(day.third, reporter.tasks(), reporter.token()));
    ArrayNode tasks = reporter.tasks().deepCopy();
    tasks.addObject().put("step", "wk-999999/0").put("try", 1).put("status", "running");
    assertEquals(
        503,
        reporter.sendReport(day.third, tasks, reporter.token()).status(),
        "the lease was kept for an unknown job");
    ((ObjectNode) tasks.get(tasks.size() - 1)).put("status", "exited").put("cause", "done");
    token(reporter.sendReport(day.third, tasks, reporter.token()));
  }

  /** A leader raises the token while a launch of a cancelled job is unanswered. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8211, 8212, 8213})
  void aLeaderRaisesTheTokenAboveAnUnansweredLaunch(long seed) {
    CancellationOutageTest.Scenario day = new CancellationOutageTest.Scenario(seed);
    setCutFromMachines(day, true);
    SimulatedUsers.KnownJob job = day.cluster.users.submitArray("one", "high", 4, 150);
    waitUntil(day, () -> !hostsOnRecord(day, job).isEmpty());
    List<Reporter> reporters = hostsOnRecord(day, job).stream().map(Reporter::new).toList();
    day.cluster.users.cancelAt(job, day.second);
    waitUntil(day, () -> job.aborted);
    for (Reporter r : reporters) {
      HttpReply reply = r.sendReport(day.oldLeader, r.tasks(), r.token());
      assertTrue(token(reply) > r.token(), "the token is not above that of the launch");
      assertTrue(
          haltedAttempts(reply).stream().anyMatch(k -> k.startsWith(job.ref + "/")),
          "the attempts are not halted");
    }
    setCutFromMachines(day, false);
    day.cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS);
  }

  /**
   * Cuts or heals the links from the old leader to the machines: its calls are lost and get no
   * response, while reports still arrive.
   */
  private static void setCutFromMachines(CancellationOutageTest.Scenario day, boolean cut) {
    String node = "node-" + day.oldLeader.index;
    for (EmulatedWorker m : day.cluster.cloud.machines()) {
      if (cut) {
        day.cluster.network.cut(node, m.endpoint(), false);
      } else {
        day.cluster.network.heal(node, m.endpoint());
      }
    }
  }

  private static List<EmulatedWorker> hostsOnRecord(
      CancellationOutageTest.Scenario day, SimulatedUsers.KnownJob job) {
    String records = "";
    for (String key : day.cluster.state.keys("live/")) {
      if (key.startsWith("live/run/" + job.ref) || key.startsWith("live/sheet/")) {
        records += day.cluster.state.value(key);
      }
    }
    String allRecords = records;
    return day.cluster.cloud.machines().stream()
        .filter(m -> !m.isGone() && allRecords.contains(m.id()))
        .toList();
  }

  /**
   * Machines refuse connections from the leader, so that launches wait. Meanwhile the job is
   * cancelled, and no controller is left that could inform the leader. When the machines accept
   * connections again, it is too late to launch.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8221, 8222, 8223})
  void noLaunchIsSentAfterTheMaximumDelay(long seed) {
    CancellationOutageTest.Scenario day = new CancellationOutageTest.Scenario(seed);
    boolean[] refusing = {true};
    for (EmulatedWorker m : day.cluster.cloud.machines()) {
      day.cluster.network.register(
          m.endpoint(), refusingConnections("node-" + day.oldLeader.index, refusing, m));
    }
    SimulatedUsers.KnownJob job = day.cluster.users.submitArray("two", "high", 4, 150);
    waitUntil(day, () -> !hostsOnRecord(day, job).isEmpty());
    CancellationOutageTest.refuseOldLeader(day);
    day.cutLinks("refused", true);
    day.cluster.users.cancelAt(job, day.second);
    waitUntil(day, () -> job.aborted);
    day.second.crash(3 * SimulatedCluster.CANCEL_DEADLINE_MS);
    day.cluster.state.beginOutage();
    day.cluster.run(MAX_LAUNCH_DELAY_MS);
    assertEquals(0, job.starts, "a launch was not held back");
    refusing[0] = false;
    day.cluster.run(SimulatedCluster.REPORT_INTERVAL_MS);
    assertEquals(0, job.starts, "tasks launched too late");
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

  /**
   * Delays the change streams of chosen controllers, and the transaction of the first cancellation.
   */
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
   * An attempt is recorded after the last read of the controller that cancels and before its
   * transaction. The cancellation may be confirmed to the user only once that attempt has been
   * read, so that every controller that is informed can halt it.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8231, 8232, 8233})
  void aCancellationIsConfirmedOnlyOnceAllAttemptsAreRead(long seed) {
    CancellationOutageTest.Scenario day = new CancellationOutageTest.Scenario(seed);
    DelayedStateService stateService = new DelayedStateService(day.cluster.state);
    day.cluster.network.register("state:1", stateService);
    stateService.blockedNodes.add("node-" + day.oldLeader.index);
    SimulatedUsers.KnownJob job = day.cluster.users.submitArray("one", "high", 4, 150);
    waitUntil(day, () -> job.accepted);
    day.cluster.users.cancelAt(job, day.second);
    waitUntil(day, () -> stateService.cancellation != null);
    // The leader learns of the job only now and launches it, while the canceller receives no
    // changes.
    stateService.releaseChanges("node-" + day.oldLeader.index);
    waitUntil(day, () -> !hostsOnRecord(day, job).isEmpty());
    List<Reporter> reporters = hostsOnRecord(day, job).stream().map(Reporter::new).toList();
    stateService.cancellation.run();
    day.cluster.run(SimulatedCluster.REPORT_INTERVAL_MS / 4);
    assertFalse(job.aborted, "confirmed before the launches were read");
    stateService.releaseChanges("node-" + day.second.index);
    waitUntil(day, () -> job.aborted);
    day.cluster.run(SimulatedCluster.CANCEL_DEADLINE_MS);
    assertEquals(0, day.running(job), "cancelled tasks still run");
    assertFalse(reporters.isEmpty());
  }

  private static void waitUntil(CancellationOutageTest.Scenario day, BooleanSupplier condition) {
    for (int i = 0; i < 400 && !condition.getAsBoolean(); i++) {
      day.cluster.run(10);
    }
    assertTrue(condition.getAsBoolean(), "the condition was not met within 4 s");
  }
}
