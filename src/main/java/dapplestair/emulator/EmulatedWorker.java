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
  private static final long LEASE_CHECK_INTERVAL_MS = 200;

  private final EmulatorEnvironment environment;
  private final EmulatedCloud cloud;
  private final EmulatorSettings.MachineSpec type;
  private final String id;
  private final String zone;
  private final boolean isSpot;
  private final MachineCondition condition;
  private final WorkerSession session;
  private final ControllerSelector selector;
  private final ReportSender reportSender;
  private final TaskRunner taskRunner;
  private String endpoint;
  private boolean booted;
  private long reclaimAtMs = -1;

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
    this.isSpot = spot;
    this.condition = new MachineCondition(environment);
    this.session = new WorkerSession(environment, emulatorSettings.leaseMs());
    this.selector = new ControllerSelector(cloud);
    this.reportSender =
        new ReportSender(
            environment, this, condition, session, selector, emulatorSettings.reportMs());
    this.taskRunner =
        new TaskRunner(environment, cloud, this, type, condition, session, reportSender::report);
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
  public boolean isSpot() {
    return isSpot;
  }

  /** True when it has no power any more. */
  public boolean isGone() {
    return condition.isGone();
  }

  /** True once it has come up. */
  public boolean hasBooted() {
    return booted;
  }

  /**
   * True when tasks that start here can be expected to complete: it is up, executes and hears what
   * it is told, does not fail its tasks and has no notice.
   */
  public boolean canCompleteTasks() {
    return booted && condition.isHealthy() && reclaimAtMs < 0;
  }

  /** Its machine's room that no task holds, of the amount in this field of a submission. */
  public double freeAmount(String field) {
    return type.freeAmount(taskRunner.tasks(), field);
  }

  /** All attempts that its worker knows. */
  public Collection<EmulatedTask> tasks() {
    return taskRunner.tasks();
  }

  // ---- what may happen to it ----

  void boot() {
    booted = true;
    session.startLease();
    selector.selectRandom(environment);
    environment.open(
        id,
        this,
        address -> {
          endpoint = address;
          reportSender.heartbeat();
          watchLease();
        });
  }

  /** The cloud will take it, with or without a notice. */
  public void reclaim(long delayMs) {
    reclaimAtMs = environment.now() + delayMs;
    environment.after(delayMs, this::powerOff);
  }

  /** Power off: nothing is left, and nobody is told. */
  public void powerOff() {
    condition.powerOff();
    taskRunner.clear();
    environment.removeMachine(id);
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
  public void cutInbound(long ms) {
    condition.cutInbound(ms);
  }

  /** For a while it opens no connection to any controller; commands and questions reach it. */
  public void cutOutbound(long ms) {
    condition.cutOutbound(ms);
  }

  /** From now on every task fails that starts here. */
  public void failAllTasks() {
    condition.failAllTasks();
  }

  /** For a while something that is no task takes all of its room: starts are refused as full. */
  public void occupy(long ms) {
    condition.occupy(ms);
  }

  /** Milliseconds since it sent the last report that was answered. */
  public long sinceAnsweredReportMs() {
    return session.leaseAgeMs();
  }

  // ---- its lease ----

  private void watchLease() {
    if (!isGone()) {
      checkLease();
      environment.after(LEASE_CHECK_INTERVAL_MS, this::watchLease);
    }
  }

  private void checkLease() {
    // A hanging machine may resume only within its lease: past it, its tasks are gone as well.
    if (!isGone() && !condition.isStalled() && session.leaseExpired()) {
      cloud.countTasksKilledByLease(tasks().stream().filter(EmulatedTask::isOnMachine).count());
      taskRunner.clear();
      session.restart();
    }
  }

  // ---- commands and reports ----

  @Override
  public void request(
      String from, String method, String path, byte[] body, Consumer<HttpReply> reply) {
    if (isGone() || condition.isInboundCut()) {
      return;
    }
    if (condition.isHanging()) {
      condition.defer(() -> request(from, method, path, body, reply));
      return;
    }
    if (path.equals("/status")) {
      session.advanceTick();
      reply.accept(EmulatedState.jsonReply(200, toReportJson()));
      return;
    }
    reply.accept(handleCommand(Json.parse(body == null ? new byte[0] : body)));
  }

  private HttpReply handleCommand(JsonNode body) {
    JsonNode token = body.path("baton");
    JsonNode sessionNumber = body.path("tenure");
    if (!token.isIntegralNumber() || !sessionNumber.isIntegralNumber()) {
      return EmulatedState.jsonReply(400, Json.object().put("error", "baton or tenure missing"));
    }
    boolean stale = token.asLong() < session.token() || sessionNumber.asLong() != session.number();
    if (!stale) {
      executeOrders(token.asLong(), body);
    }
    session.advanceTick();
    return EmulatedState.jsonReply(stale ? 409 : 200, toReportJson());
  }

  /** Executes the orders of a command, or of a report's answer, with a token that is not stale. */
  void executeOrders(long token, JsonNode body) {
    boolean higher = session.acceptToken(token);
    body.path("orders").forEach(taskRunner::execute);
    if (higher) {
      reportSender.reportSoon();
    }
  }

  /** Its report, as on the wire. */
  ObjectNode toReportJson() {
    ObjectNode report =
        Json.object()
            .put("host", id)
            .put("endpoint", endpoint)
            .put("hull", type.name())
            .put("basin", zone)
            .put("loaners", isSpot)
            .put("tenure", session.number())
            .put("tick", session.tick())
            .put("baton", session.token());
    if (reclaimAtMs >= 0) {
      report.put("recallS", Math.max(0, reclaimAtMs - environment.now()) / 1000.0);
    }
    taskRunner.addTasksTo(report.putArray("steps"));
    return report;
  }
}
