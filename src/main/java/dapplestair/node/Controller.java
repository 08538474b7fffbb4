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

/** One controller. All of it runs on one loop. */
public final class Controller implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
  private static final int SUMMARY_EVERY_REPORTS = 20;

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
  private final StatusReporter self;

  /** Wires the duties, without an operators' interface; nothing runs before {@link #start}. */
  public Controller(
      Settings settings, OperatorSettings operatorSettings, ControllerEnvironment environment) {
    this(settings, operatorSettings, environment, null);
  }

  /**
   * Wires the duties; operators are served by {@link #operators} if {@code authenticator} is given.
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
                this::peerStatus,
                new RoleEvents(),
                new CancellationEvents(),
                this::hostChanged,
                new ReplicaEvents()));
    scheduling = new SchedulingComponents(settings, operatorSettings, environment, core);
    core.callbacks.wire(core, scheduling);
    self = new StatusReporter(core);
    long reportMs = settings.workers().reportMs();
    loopMonitor =
        new EventLoopMonitor(
            environment.clock(),
            environment.timers(),
            core.metrics,
            SUMMARY_EVERY_REPORTS * reportMs,
            self::line);
    router =
        new HttpRouter(
            core.workers,
            core.submissions,
            self::able,
            core.peers,
            core.state::unreachableMs,
            reportMs / 4);
    operations = new OperationsComponents(settings, environment, core, scheduling);
    admin = authenticator == null ? null : admin(operatorSettings, authenticator);
    roleChanges = new RoleChangeNotifier(settings.member(), core, scheduling, operations, admin);
    dispatcher = new RecordDispatcher(core, scheduling, operations, admin);
  }

  private AdminHandler admin(OperatorSettings operatorSettings, Authenticator authenticator) {
    ControllerComponents components =
        new ControllerComponents(
            settings,
            operatorSettings,
            environment.clock(),
            environment.timers(),
            core.leadership,
            core.ledger,
            core.workers,
            scheduling.fleet,
            core.types,
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
            core.log);
    Exposition exposition = ControllerMetrics.of(components);
    core.metrics.tell(exposition);
    return new AdminHandler(components, authenticator, this::handle, exposition::text);
  }

  /** Answers a request of an operator; only with access given. */
  public void operators(Exchange exchange) {
    admin.handle(exchange);
  }

  /** True once this controller leads and may launch tasks, so that a lone one serves fully. */
  public boolean serving() {
    return core.ledger.canLaunch() && core.types.known();
  }

  /** Gives the lead away and ends; what is recorded stays. */
  public void leave() {
    core.leadership.resign("this process is ending");
    close();
  }

  /** Begins to take part. */
  public void start() {
    LOG.info("{} in {} starts", settings.member(), settings.zone());
    core.replica.reload();
    core.workers.start();
    core.peers.start();
    core.cancellations.start();
    core.accepted.start();
    core.requestRelay.start(router::handleUser);
    core.leadership.start(core.replica);
    loopMonitor.start();
  }

  /** Answers a request of a user, a worker or a health check. */
  public void handle(Exchange exchange) {
    router.handle(exchange);
  }

  // ---- between the duties ----

  private PeerStatus ownStatus() {
    return self.toPeers();
  }

  private void peerStatus(PeerStatus status) {
    core.leadership.observeTerm(status.term());
    if (core.leadership.isLeading()) {
      core.state.setPeerDemand(core.peers.putsPerSecond());
    }
  }

  private void hostChanged(Host host) {
    operations.drains.mark(host);
    if (host.recalled() && !host.gone()) {
      scheduling.reclaimNoticeHandler.leave(host);
    }
    scheduling.placer.nudge();
  }

  /** Leadership is made before those that hear of it. */
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

  /** The ledger and the users' desk hear of what others confirmed. */
  private final class CancellationEvents implements Cancellations.Listener {
    @Override
    public void cancelled(String ref) {
      core.submissions.ended(ref, false);
      core.ledger.onJobCancelled(ref);
    }

    @Override
    public List<Cancellation.TaskLocation> places(String ref) {
      return core.ledger.taskLocations(ref);
    }

    @Override
    public boolean begun() {
      return core.ledger.canLaunch();
    }

    @Override
    public boolean proved(String ref) {
      return core.leadership.isLeading() && core.ledger.hasNoAttemptsLeft(ref);
    }
  }

  /** The replica is made before some of those that hear of it. */
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
