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
 * Answers the workers' reports: the leader keeps their leases, the others show the way to it, or
 * keep a lease themselves where nobody else can.
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
  private final RecentRedirects redirects;
  private final LeaseRenewal renewal;
  private final ReportApplier applier;
  private final Relay relay;
  private final BooleanSupplier leading;
  private Cancellable counting = () -> {};
  private int beats;
  private int beatsBefore;

  /** {@code leading} is true while this controller commands the workers. */
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
      BooleanSupplier leading) {
    this.timers = timers;
    this.settings = settings;
    this.leadership = leadership;
    this.peers = peers;
    this.state = state;
    this.cancellations = cancellations;
    this.hostRegistry = hostRegistry;
    this.liveness = liveness;
    this.redirects = new RecentRedirects(clock, settings.workers().leaseMs());
    this.renewal = renewal;
    this.applier = applier;
    this.relay = relay;
    this.leading = leading;
  }

  /** Begins to count what comes. */
  void start() {
    relay.start(this::beat, () -> hostRegistry.all().size());
    countBeats();
  }

  /** Answers a worker's report. */
  void beat(Exchange exchange) {
    JsonNode body = Json.parse(exchange.body());
    Report report = Report.parse(body);
    if (report == null) {
      exchange.reply(BAD_REQUEST, Json.bytes(Json.object().put("error", "not a report")), 0);
      return;
    }
    // A higher token means that somebody else leads by now. To be looked at before any 200: a
    // worker that has to drop a 200 stays here while its lease runs out.
    leadership.observeTerm(FencingToken.term(report.token()));
    cancellations.addressed(report.host(), report.endpoint());
    beats++;
    if (!leading.getAsBoolean() || !leadership.isLeading()) {
      if (!relay.tryRelay(exchange, report, () -> redirect(exchange, report))) {
        redirect(exchange, report);
      }
      return;
    }
    String elsewhere = relay.redirectTargetOfDirectReport(exchange, report);
    if (elsewhere != null) {
      sendTo(exchange, elsewhere);
      return;
    }
    if (hostRegistry.isGone(report.host())) {
      if (hostRegistry.sentSince(report)) {
        liveness.heard(report.zone(), true);
      }
      keep(exchange, null);
      return;
    }
    Host host = hostRegistry.host(report.host());
    host.relay = RelayedReport.relayOf(exchange);
    applier.apply(host, report, false);
    keep(exchange, leading.getAsBoolean() ? renewal.byLeader(host, report) : null);
  }

  /** Keeps the worker's lease, or sends it on to somebody who may. */
  private static void keep(Exchange exchange, ObjectNode answer) {
    if (answer == null) {
      exchange.reply(503, Json.bytes(Json.object()), 1);
    } else {
      exchange.reply(200, Json.bytes(answer), 0);
    }
  }

  /**
   * Shows the way to the leader. In a zone that is cut off, or while nobody can lead, there is none
   * to be reached, and the worker's tasks would end with its lease for nothing: then its own token
   * is good, which any controller may show as long as it knows of no higher term. Nobody takes the
   * end of a lease for a proof of absence, so this starts no task twice. A cancelled task must not
   * live by it: {@link LeaseRenewal} sees to that.
   */
  private void redirect(Exchange exchange, Report report) {
    boolean again = redirects.again(report);
    String leader = leadership.currentLeader();
    boolean known = leader != null && !leader.equals(settings.member());
    // One that comes back from a living leader was not taken there. In an outage of all the reason
    // may be that this leader may not keep leases any more, since it does not hear all others.
    boolean notTaken = again && !peers.hasReadyPeer();
    boolean alone = !state.isReachable() && (notTaken || !(known && peers.isAlive(leader)));
    if (alone && !again && (leadership.hasUnrecordedSuccessor() || relay.isActive())) {
      // Somebody leads whom we cannot ask, and reaches this worker: it had better report there.
      // Where reports are relayed, a relay that is cut off cannot tell whether somebody does.
      // One that comes back was not taken; it is kept as below.
      keep(exchange, null);
      return;
    }
    if (alone && FencingToken.term(report.token()) >= leadership.highestTermSeen()) {
      keep(exchange, renewal.byOther(report));
      return;
    }
    sendTo(exchange, known ? leader : null);
  }

  /** Sends a worker on to another controller, or to any if {@code member} is null. */
  private static void sendTo(Exchange exchange, String member) {
    ObjectNode answer = Json.object();
    if (member != null) {
      answer.put("steward", member);
    }
    exchange.reply(REDIRECTED, Json.bytes(answer), 0);
  }

  /** Reports that came to this controller lately, whoever leads. */
  int lately() {
    return beats + beatsBefore;
  }

  private void countBeats() {
    beatsBefore = beats;
    beats = 0;
    counting = timers.after(settings.workers().reportMs() / 2, this::countBeats);
  }

  @Override
  public void close() {
    counting.cancel();
  }
}
