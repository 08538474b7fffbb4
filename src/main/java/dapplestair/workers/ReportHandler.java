package dapplestair.workers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.cancellations.Cancellations;
import dapplestair.json.Json;
import dapplestair.leadership.FencingToken;
import dapplestair.leadership.Leadership;
import dapplestair.peers.Peers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Exchange;
import dapplestair.ports.Timers;
import dapplestair.relay.Relay;
import dapplestair.relay.RelayedReport;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import dapplestair.work.Report;
import java.util.function.BooleanSupplier;

/**
 * Answers the workers' reports. The leader renews their leases. Other controllers redirect workers
 * to the leader, or renew a lease themselves where no leader can.
 */
final class ReportHandler implements AutoCloseable {
  private static final int BAD_REQUEST = 400;
  private static final int REDIRECTED = 421;

  private final Timers timers;
  private final Settings settings;
  private final Leadership leadership;
  private final Peers peers;
  private final StateClient state;
  private final Cancellations cancellations;
  private final HostRegistry hostRegistry;
  private final LivenessTracker liveness;
  private final RecentRedirects recentRedirects;
  private final LeaseRenewal renewal;
  private final ReportApplier applier;
  private final Relay relay;
  private final BooleanSupplier isLeading;
  private Cancellable rotationTimer = () -> {};
  private int currentCount;
  private int previousCount;

  /**
   * Creates a handler; {@code isLeading} returns true while this controller commands the workers.
   */
  ReportHandler(
      Clock clock,
      Timers timers,
      Settings settings,
      Leadership leadership,
      Peers peers,
      StateClient state,
      Cancellations cancellations,
      HostRegistry hostRegistry,
      LivenessTracker liveness,
      LeaseRenewal renewal,
      ReportApplier applier,
      Relay relay,
      BooleanSupplier isLeading) {
    this.timers = timers;
    this.settings = settings;
    this.leadership = leadership;
    this.peers = peers;
    this.state = state;
    this.cancellations = cancellations;
    this.hostRegistry = hostRegistry;
    this.liveness = liveness;
    this.recentRedirects = new RecentRedirects(clock, settings.workers().leaseMs());
    this.renewal = renewal;
    this.applier = applier;
    this.relay = relay;
    this.isLeading = isLeading;
  }

  /** Begins to receive relayed reports and to count all reports. */
  void start() {
    relay.start(this::handle, () -> hostRegistry.all().size());
    rotateCounts();
  }

  /** Answers a worker's report. */
  void handle(Exchange exchange) {
    JsonNode body = Json.parse(exchange.body());
    Report report = Report.parse(body);
    if (report == null) {
      exchange.reply(BAD_REQUEST, Json.bytes(Json.object().put("error", "not a report")), 0);
      return;
    }
    // A token of a higher term means that another controller leads by now. This must be checked
    // before any 200 is sent: a worker that has to ignore a 200 keeps reporting here while its
    // lease runs out.
    leadership.observeTerm(FencingToken.term(report.token()));
    cancellations.recordAddress(report.host(), report.endpoint());
    currentCount++;
    if (!isLeading.getAsBoolean() || !leadership.isLeading()) {
      if (!relay.tryRelay(exchange, report, () -> redirectOrRenew(exchange, report))) {
        redirectOrRenew(exchange, report);
      }
      return;
    }
    String otherMember = relay.redirectTargetOfDirectReport(exchange, report);
    if (otherMember != null) {
      redirectTo(exchange, otherMember);
      return;
    }
    if (hostRegistry.isGone(report.host())) {
      if (hostRegistry.noteNewerReport(report)) {
        liveness.recordZoneContact(report.zone(), true);
      }
      replyWithLease(exchange, null);
      return;
    }
    Host host = hostRegistry.getOrCreate(report.host());
    host.relayController = RelayedReport.relayOf(exchange);
    applier.apply(host, report, false);
    replyWithLease(exchange, isLeading.getAsBoolean() ? renewal.renewAsLeader(host, report) : null);
  }

  /**
   * Replies with a lease renewal, or with 503 if {@code answer} is null, so that the worker turns
   * to a controller that may renew its lease.
   */
  private static void replyWithLease(Exchange exchange, ObjectNode answer) {
    if (answer == null) {
      exchange.reply(503, Json.bytes(Json.object()), 1);
    } else {
      exchange.reply(200, Json.bytes(answer), 0);
    }
  }

  /**
   * Redirects a worker to the leader, or renews its lease where no leader can be reached. In a zone
   * that is cut off, or while no controller can lead, the worker's tasks would otherwise end with
   * its lease for no reason. In that case this controller answers with the worker's own token,
   * which any controller may do as long as it knows of no higher term. No controller takes the end
   * of a lease as proof that a task is absent, so the renewal starts no task twice. {@link
   * LeaseRenewal} makes sure that it doesn't keep a cancelled task alive.
   */
  private void redirectOrRenew(Exchange exchange, Report report) {
    boolean sentBack = recentRedirects.recordReport(report);
    String leader = leadership.currentLeader();
    boolean isLeaderKnown = leader != null && !leader.equals(settings.member());
    // A worker that returns here although the leader is alive was not accepted there. If no
    // controller reaches the state service, the reason may be that the leader may not renew leases
    // any more, since it doesn't hear all other controllers.
    boolean notAccepted = sentBack && !peers.hasReadyPeer();
    boolean noLeaderReachable =
        !state.isReachable() && (notAccepted || !(isLeaderKnown && peers.isAlive(leader)));
    if (noLeaderReachable
        && !sentBack
        && (leadership.hasUnrecordedSuccessor() || relay.isActive())) {
      // Another controller leads, which this one cannot ask, and it may reach this worker, so the
      // worker should report there. Where reports are relayed, a relay that is cut off cannot tell
      // whether a controller leads. If the worker returns here, it was not accepted there, and its
      // lease is renewed below.
      replyWithLease(exchange, null);
      return;
    }
    if (noLeaderReachable && FencingToken.term(report.token()) >= leadership.highestTermSeen()) {
      replyWithLease(exchange, renewal.renewAsFollower(report));
      return;
    }
    redirectTo(exchange, isLeaderKnown ? leader : null);
  }

  /** Redirects a worker to another controller, or to any other one if {@code member} is null. */
  private static void redirectTo(Exchange exchange, String member) {
    ObjectNode answer = Json.object();
    if (member != null) {
      answer.put("steward", member);
    }
    exchange.reply(REDIRECTED, Json.bytes(answer), 0);
  }

  /**
   * Returns the number of reports that this controller received recently, whether or not it leads.
   */
  int recentCount() {
    return currentCount + previousCount;
  }

  private void rotateCounts() {
    previousCount = currentCount;
    currentCount = 0;
    rotationTimer = timers.after(settings.workers().reportMs() / 2, this::rotateCounts);
  }

  @Override
  public void close() {
    rotationTimer.cancel();
  }
}
