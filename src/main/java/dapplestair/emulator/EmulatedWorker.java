package dapplestair.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.util.Collection;
import java.util.function.Consumer;

/**
 * A machine with its worker, by the protocol. Its reports are sent by {@link ReportSender}, its
 * orders executed by {@link TaskRunner}; this class boots and ends it, checks its lease and answers
 * the controllers' direct requests.
 */
public final class EmulatedWorker implements RequestHandler {
  private static final long LEASE_CHECK_MS = 200;

  private final EmulatorEnvironment environment;
  private final EmulatedCloud cloud;
  private final EmulatorSettings.MachineSpec type;
  private final String id;
  private final String zone;
  private final boolean spot;
  private final MachineCondition condition;
  private final WorkerSession session;
  private final ControllerSelector selector;
  private final ReportSender reports;
  private final TaskRunner tasks;
  private String endpoint;
  private boolean booted;
  private long recallAt = -1;

  EmulatedWorker(
      EmulatorEnvironment environment,
      EmulatedCloud cloud,
      EmulatorSettings emulatorSettings,
      EmulatorSettings.MachineSpec type,
      String id,
      String zone,
      boolean spot) {
    this.environment = environment;
    this.cloud = cloud;
    this.type = type;
    this.id = id;
    this.zone = zone;
    this.spot = spot;
    this.condition = new MachineCondition(environment);
    this.session = new WorkerSession(environment, emulatorSettings.leaseMs());
    this.selector = new ControllerSelector(cloud);
    this.reports =
        new ReportSender(
            environment, this, condition, session, selector, emulatorSettings.reportMs());
    this.tasks =
        new TaskRunner(environment, cloud, this, type, condition, session, reports::report);
    this.endpoint = environment.address(id);
  }

  // ---- what may be seen of it ----

  /** The cloud's name of it. */
  public String id() {
    return id;
  }

  /** Its address, or null before it is up. */
  public String endpoint() {
    return endpoint;
  }

  /** Its type's name. */
  public String type() {
    return type.name();
  }

  /** Its zone. */
  public String zone() {
    return zone;
  }

  /** True when it may be taken back. */
  public boolean spot() {
    return spot;
  }

  /** True when it has no power any more. */
  public boolean gone() {
    return condition.gone();
  }

  /** True once it has come up. */
  public boolean booted() {
    return booted;
  }

  /**
   * True when tasks that start here can be expected to complete: it is up, executes and hears what
   * it is told, does not fail its tasks and has no notice.
   */
  public boolean fit() {
    return booted && condition.sound() && recallAt < 0;
  }

  /** Its machine's room that no task holds, of the amount in this field of a submission. */
  public double free(String field) {
    return type.free(tasks.tasks(), field);
  }

  /** All attempts that its worker knows. */
  public Collection<EmulatedTask> tasks() {
    return tasks.tasks();
  }

  // ---- what may happen to it ----

  void boot() {
    booted = true;
    session.startLease();
    selector.any(environment);
    environment.open(
        id,
        this,
        address -> {
          endpoint = address;
          reports.heartbeat();
          watchLease();
        });
  }

  /** The cloud will take it, with or without a notice. */
  public void recall(long inMs) {
    recallAt = environment.now() + inMs;
    environment.after(inMs, this::end);
  }

  /** Power off: nothing is left, and nobody is told. */
  public void end() {
    condition.powerOff();
    tasks.clear();
    environment.silence(id);
  }

  /** It stops executing for a while; its lease goes on. */
  public void hang(long ms) {
    condition.hang(ms, this::checkLease, () -> cloud.observer().resumed(this));
  }

  /** As {@link #hang}, and its tasks stay on it past its lease: it kills them when it goes on. */
  public void stall(long ms) {
    condition.stall(ms);
    hang(ms);
  }

  /** It reports as before, but for a while neither commands nor answers reach it. */
  public void deafen(long ms) {
    condition.deafen(ms);
  }

  /** For a while it opens no connection to any controller; commands and questions reach it. */
  public void mute(long ms) {
    condition.mute(ms);
  }

  /** From now on every task fails that starts here. */
  public void sicken() {
    condition.fail();
  }

  /** For a while something that is no task takes all of its room: starts are refused as full. */
  public void crowd(long ms) {
    condition.crowd(ms);
  }

  /** Milliseconds since it sent the last report that was answered. */
  public long unansweredMs() {
    return session.leaseAgeMs();
  }

  // ---- its lease ----

  private void watchLease() {
    if (!gone()) {
      checkLease();
      environment.after(LEASE_CHECK_MS, this::watchLease);
    }
  }

  private void checkLease() {
    // A hanging machine may resume only within its lease: past it, its tasks are gone as well.
    if (!gone() && !condition.stalled() && session.leaseExpired()) {
      cloud.killedByLease(tasks().stream().filter(EmulatedTask::onMachine).count());
      tasks.clear();
      session.restart();
    }
  }

  // ---- commands and reports ----

  @Override
  public void request(
      String from, String method, String path, byte[] body, Consumer<HttpReply> reply) {
    if (gone() || condition.deaf()) {
      return;
    }
    if (condition.hanging()) {
      condition.defer(() -> request(from, method, path, body, reply));
      return;
    }
    if (path.equals("/status")) {
      session.nextTick();
      reply.accept(EmulatedState.json(200, state()));
      return;
    }
    reply.accept(ordered(Json.parse(body == null ? new byte[0] : body)));
  }

  private HttpReply ordered(JsonNode body) {
    JsonNode token = body.path("baton");
    JsonNode number = body.path("tenure");
    if (!token.isIntegralNumber() || !number.isIntegralNumber()) {
      return EmulatedState.json(400, Json.object().put("error", "baton or tenure missing"));
    }
    boolean stale = token.asLong() < session.token() || number.asLong() != session.number();
    if (!stale) {
      command(token.asLong(), body);
    }
    session.nextTick();
    return EmulatedState.json(stale ? 409 : 200, state());
  }

  /** Executes the orders of a command, or of a report's answer, with a token that is not stale. */
  void command(long token, JsonNode body) {
    boolean higher = session.accept(token);
    body.path("orders").forEach(tasks::execute);
    if (higher) {
      reports.reportSoon();
    }
  }

  /** Its report, as on the wire. */
  ObjectNode state() {
    ObjectNode report =
        Json.object()
            .put("host", id)
            .put("endpoint", endpoint)
            .put("hull", type.name())
            .put("basin", zone)
            .put("loaners", spot)
            .put("tenure", session.number())
            .put("tick", session.tick())
            .put("baton", session.token());
    if (recallAt >= 0) {
      report.put("recallS", Math.max(0, recallAt - environment.now()) / 1000.0);
    }
    tasks.addTo(report.putArray("steps"));
    return report;
  }
}
