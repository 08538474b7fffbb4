package dapplestair.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.util.Collection;
import java.util.function.Consumer;

/**
 * Emulates a machine with its worker. {@link ReportSender} sends the worker's reports, {@link
 * TaskRunner} executes its orders; this class boots the machine and powers it off, checks the lease
 * and answers the controllers' direct requests.
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
            environment, this, condition, session, selector, emulatorSettings.reportIntervalMs());
    this.taskRunner =
        new TaskRunner(environment, cloud, this, type, condition, session, reportSender::report);
    this.endpoint = environment.address(id);
  }

  // ---- inspection ----

  /** Returns the cloud's identifier of the machine. */
  public String id() {
    return id;
  }

  /**
   * Returns the worker's address, or null while it is unknown; in some environments the address is
   * assigned only when the machine has booted.
   */
  public String endpoint() {
    return endpoint;
  }

  /** Returns the name of the machine's type. */
  public String type() {
    return type.name();
  }

  /** Returns the machine's zone. */
  public String zone() {
    return zone;
  }

  /** Returns true for a spot machine, which the cloud may reclaim. */
  public boolean isSpot() {
    return isSpot;
  }

  /** Returns true once the machine has lost power. */
  public boolean isGone() {
    return condition.isGone();
  }

  /** Returns true once the machine has booted. */
  public boolean hasBooted() {
    return booted;
  }

  /**
   * Returns true if tasks that start here can be expected to complete: the machine is up, is not
   * hanging, receives requests and replies, does not fail its tasks and is not being reclaimed.
   */
  public boolean canCompleteTasks() {
    return booted && condition.isHealthy() && reclaimAtMs < 0;
  }

  /** Returns how much of a resource, named by a submission's field, no task on the machine uses. */
  public double freeAmount(String field) {
    return type.freeAmount(taskRunner.tasks(), field);
  }

  /** Returns all attempts that the worker knows. */
  public Collection<EmulatedTask> tasks() {
    return taskRunner.tasks();
  }

  // ---- boot and faults ----

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

  /** Makes the cloud reclaim the machine after a delay; with a delay of 0 there is no notice. */
  public void reclaim(long delayMs) {
    reclaimAtMs = environment.now() + delayMs;
    environment.after(delayMs, this::powerOff);
  }

  /** Powers the machine off: all its tasks are lost, and nobody is notified. */
  public void powerOff() {
    condition.powerOff();
    taskRunner.clear();
    environment.removeMachine(id);
  }

  /** Makes the machine execute nothing for a while, during which its lease runs on. */
  public void hang(long ms) {
    condition.hang(ms, this::checkLease, () -> cloud.observer().resumed(this));
  }

  /**
   * Makes the machine hang as in {@link #hang}, with its tasks surviving their lease: the worker
   * kills them only when it resumes.
   */
  public void stall(long ms) {
    condition.stall(ms);
    hang(ms);
  }

  /** Cuts inbound traffic for a while: reports are sent, but no command or reply is received. */
  public void cutInbound(long ms) {
    condition.cutInbound(ms);
  }

  /**
   * Cuts outbound traffic for a while: no connection to a controller opens, but commands and
   * queries are received and answered.
   */
  public void cutOutbound(long ms) {
    condition.cutOutbound(ms);
  }

  /** Makes every task that starts here from now on fail. */
  public void failAllTasks() {
    condition.failAllTasks();
  }

  /**
   * Makes something other than tasks occupy the whole machine for a while: launches are refused as
   * full.
   */
  public void occupy(long ms) {
    condition.occupy(ms);
  }

  /** Returns the milliseconds since the worker sent the last report that was answered. */
  public long sinceAnsweredReportMs() {
    return session.leaseAgeMs();
  }

  // ---- lease ----

  private void watchLease() {
    if (!isGone()) {
      checkLease();
      environment.after(LEASE_CHECK_INTERVAL_MS, this::watchLease);
    }
  }

  private void checkLease() {
    // A hanging machine can go on with its tasks only within its lease; its tasks end with the
    // lease, unless the machine is stalled.
    if (!isGone() && !condition.isStalled() && session.leaseExpired()) {
      cloud.countTasksKilledByLease(tasks().stream().filter(EmulatedTask::isOnMachine).count());
      taskRunner.clear();
      session.restart();
    }
  }

  // ---- commands and queries ----

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

  /** Executes the orders of a command, or of a reply to a report, whose token is not stale. */
  void executeOrders(long token, JsonNode body) {
    boolean higher = session.acceptToken(token);
    body.path("orders").forEach(taskRunner::execute);
    if (higher) {
      reportSender.reportSoon();
    }
  }

  /** Returns the worker's current report, in the form of the protocol. */
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
