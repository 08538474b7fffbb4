package dapplestair.node;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.admin.AdminHandler;
import dapplestair.admin.Authenticator;
import dapplestair.admin.ControllerComponents;
import dapplestair.cancellations.Cancellation;
import dapplestair.cancellations.Cancellations;
import dapplestair.leadership.Leadership;
import dapplestair.metrics.Exposition;
import dapplestair.peers.PeerStatus;
import dapplestair.ports.Exchange;
import dapplestair.settings.OperatorSettings;
import dapplestair.settings.Settings;
import dapplestair.state.Replica;
import dapplestair.workers.Host;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A controller. All of its components run on a single event loop. */
public final class Controller implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
  private static final int SUMMARY_INTERVAL_REPORTS = 20;

  private final ControllerEnvironment environment;
  private final Settings settings;
  private final CoreComponents core;
  private final SchedulingComponents scheduling;
  private final OperationsComponents operations;
  private final AdminHandler admin;
  private final RoleChangeNotifier roleChanges;
  private final RecordDispatcher dispatcher;
  private final HttpRouter router;
  private final EventLoopMonitor loopMonitor;
  private final StatusReporter statusReporter;

  /** Wires the components, without an operators' interface; nothing runs before {@link #start}. */
  public Controller(
      Settings settings, OperatorSettings operatorSettings, ControllerEnvironment environment) {
    this(settings, operatorSettings, environment, null);
  }

  /**
   * Wires the components; {@link #handleOperatorRequest} serves operators unless {@code
   * authenticator} is null.
   */
  public Controller(
      Settings settings,
      OperatorSettings operatorSettings,
      ControllerEnvironment environment,
      Authenticator authenticator) {
    this.environment = environment;
    this.settings = settings;
    core =
        new CoreComponents(
            settings,
            operatorSettings,
            environment,
            authenticator != null,
            new CoreComponents.Listeners(
                this::ownStatus,
                this::onPeerStatus,
                new RoleEvents(),
                new CancellationEvents(),
                this::onHostChanged,
                new ReplicaEvents()));
    scheduling = new SchedulingComponents(settings, operatorSettings, environment, core);
    core.ledgerCallbacks.wire(core, scheduling);
    statusReporter = new StatusReporter(core);
    long reportMs = settings.workers().reportMs();
    loopMonitor =
        new EventLoopMonitor(
            environment.clock(),
            environment.timers(),
            core.metrics,
            SUMMARY_INTERVAL_REPORTS * reportMs,
            statusReporter::summaryLine);
    router =
        new HttpRouter(
            core.workerManager,
            core.submissionHandler,
            statusReporter::canTakeRequests,
            core.peers,
            core.state::unreachableMs,
            reportMs / 4);
    operations = new OperationsComponents(settings, environment, core, scheduling);
    admin = authenticator == null ? null : createAdminHandler(operatorSettings, authenticator);
    roleChanges = new RoleChangeNotifier(settings.member(), core, scheduling, operations, admin);
    dispatcher = new RecordDispatcher(core, scheduling, operations, admin);
  }

  private AdminHandler createAdminHandler(
      OperatorSettings operatorSettings, Authenticator authenticator) {
    ControllerComponents components =
        new ControllerComponents(
            settings,
            operatorSettings,
            environment.clock(),
            environment.timers(),
            core.leadership,
            core.ledger,
            core.workerManager,
            scheduling.fleet,
            core.machineTypes,
            scheduling.placer,
            scheduling.autoscaler,
            core.peers,
            core.replica,
            core.state,
            operations.drains,
            scheduling.disruptionGate,
            operations.replacements,
            operations.zones,
            scheduling.lanes,
            scheduling.calendars,
            scheduling.faultAttribution,
            operations.conditionalWriter,
            core.cancellations,
            core.relay,
            core.pauses,
            core.eventLog);
    Exposition exposition = ControllerMetrics.createExposition(components);
    core.metrics.setSink(exposition);
    return new AdminHandler(components, authenticator, this::handle, exposition::scrape);
  }

  /** Answers a request of an operator; requires that an authenticator was given. */
  public void handleOperatorRequest(Exchange exchange) {
    admin.handle(exchange);
  }

  /**
   * Returns whether this controller leads, may launch tasks and knows the machine types, so that it
   * serves fully even if it is the only one.
   */
  public boolean isServing() {
    return core.ledger.canLaunch() && core.machineTypes.isLoaded();
  }

  /** Resigns leadership and closes this controller; its records stay in the state service. */
  public void resignAndClose() {
    core.leadership.resign("this process is ending");
    close();
  }

  /** Starts all components; this controller may be elected from then on. */
  public void start() {
    LOG.info("controller {} in zone {} starts", settings.member(), settings.zone());
    core.pauses.start();
    core.replica.reload();
    core.workerManager.start();
    core.peers.start();
    core.cancellations.start();
    core.acceptedJobs.start();
    core.userRequestRelay.start(router::handleUser);
    core.leadership.start(core.replica);
    loopMonitor.start();
  }

  /** Answers a request of a user, a worker or a health check. */
  public void handle(Exchange exchange) {
    router.handle(exchange);
  }

  // ---- callbacks of the components ----

  private PeerStatus ownStatus() {
    return statusReporter.peerStatus();
  }

  private void onPeerStatus(PeerStatus status) {
    core.leadership.observeTerm(status.term());
    if (core.leadership.isLeading()) {
      core.state.setPeerDemand(core.peers.putsPerSecond());
    }
  }

  private void onHostChanged(Host host) {
    operations.drains.updateDrained(host);
    if (host.hasReclaimNotice() && !host.isGone()) {
      scheduling.reclaimNoticeHandler.handleNotice(host);
    }
    scheduling.placer.scheduleTurn();
  }

  /** Forwards role changes; needed since leadership is created before their notifier. */
  private final class RoleEvents implements Leadership.Listener {
    @Override
    public void lead(long term) {
      roleChanges.lead(term);
    }

    @Override
    public void follow() {
      roleChanges.follow();
    }
  }

  /**
   * Tells the submission handler and the ledger which jobs were cancelled according to other
   * controllers, and answers what {@link Cancellations} asks about a job's tasks.
   */
  private final class CancellationEvents implements Cancellations.Listener {
    @Override
    public void onCancelled(String ref) {
      core.submissionHandler.recordEnd(ref, false);
      core.ledger.onJobCancelled(ref);
    }

    @Override
    public List<Cancellation.TaskLocation> taskLocations(String ref) {
      return core.ledger.taskLocations(ref);
    }

    @Override
    public boolean leadsWithAllAttempts() {
      return core.ledger.canLaunch();
    }

    @Override
    public boolean isProvedAbsent(String ref) {
      return core.leadership.isLeading() && core.ledger.hasNoAttemptsLeft(ref);
    }
  }

  /** Forwards records; needed since the replica is created before their dispatcher. */
  private final class ReplicaEvents implements Replica.Listener {
    @Override
    public void put(String key, JsonNode value, long stamp) {
      dispatcher.put(key, value, stamp);
    }

    @Override
    public void removed(String key) {
      dispatcher.removed(key);
    }

    @Override
    public void loaded() {
      dispatcher.loaded();
    }
  }

  @Override
  public void close() {
    loopMonitor.close();
    operations.close();
    scheduling.close();
    core.close();
  }
}
