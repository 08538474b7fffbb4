package dapplestair.relay;

import dapplestair.json.Json;
import dapplestair.leadership.Leadership;
import dapplestair.peers.Peers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Exchange;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import dapplestair.relay.HeldReports.HeldReport;
import dapplestair.relay.RelayFrameCodec.Request;
import dapplestair.relay.RelayFrameCodec.RequestKind;
import dapplestair.settings.Settings;
import dapplestair.work.BoundedMap;
import dapplestair.work.Report;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Spreads the connections of workers over all controllers once a single controller has too few
 * sockets. A controller that does not lead forwards reports to the leader, returns the leader's
 * responses, and delivers the leader's commands. It decides nothing and stores nothing: for the
 * protocol it is a network path, which may lose, delay and reorder messages (docs/sharing.md).
 */
public final class Relay implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Relay.class);

  /** A machine takes two sockets of the leader: one for its reports and one for its commands. */
  private static final int SOCKETS_PER_MACHINE = 2;

  /** Five eighths of the 4 s for which a worker waits for a response (PROTOCOL). */
  private static final long RELAY_DEADLINE_MS = 4000 * 5 / 8;

  /**
   * Number of attempts for which the deadline leaves time: reports in flight when the leader ends
   * are lost and sent again.
   */
  private static final int ATTEMPTS_PER_DEADLINE = 3;

  private static final int MAX_REMEMBERED_REDIRECTS = 8192;

  private final Clock clock;
  private final Timers timers;
  private final HttpCaller http;
  private final Settings settings;
  private final Leadership leadership;
  private final Peers peers;
  private final RelayLinks links;
  private final RelayMode mode;
  private final HeldReports heldReports;
  private final long tickMs;
  private final long leaseMs;
  private final Map<String, String> zonesByMember = new HashMap<>();
  private final Map<String, Long> aliveSinceMs = new HashMap<>();
  private final Map<String, Long> redirectedAtMs = new BoundedMap<>(MAX_REMEMBERED_REDIRECTS);
  private Consumer<Exchange> reportHandler = x -> {};
  private IntSupplier machineCount = () -> 0;
  private long relayedReports;
  private Cancellable timer = () -> {};

  /**
   * Creates a relay, which is inactive until {@link #start}.
   *
   * @param socketShare share of the allowed connections that direct connections of machines may
   *     take; relaying begins above it
   */
  public Relay(
      Clock clock,
      Timers timers,
      HttpCaller http,
      Settings settings,
      double socketShare,
      Leadership leadership,
      Peers peers) {
    this.clock = clock;
    this.timers = timers;
    this.http = http;
    this.settings = settings;
    this.leadership = leadership;
    this.peers = peers;
    this.leaseMs = settings.workers().leaseMs();
    this.tickMs = settings.workers().reportMs() / 32;
    long gatherMs = settings.workers().reportMs() / 1000;
    this.links = new RelayLinks(timers, peers, leadership.processId(), gatherMs, this::handle);
    double maxDirectMachines =
        socketShare * settings.resources().maxConnections() / SOCKETS_PER_MACHINE;
    this.mode = new RelayMode(clock, maxDirectMachines, leaseMs);
    this.heldReports = new HeldReports(clock);
    settings.peers().forEach(peer -> zonesByMember.put(peer.member(), peer.zone()));
  }

  /**
   * Starts relaying.
   *
   * @param onReport handles a report while this controller leads
   * @param countMachines returns how many machines the leader knows
   */
  public void start(Consumer<Exchange> onReport, IntSupplier countMachines) {
    reportHandler = onReport;
    machineCount = countMachines;
    links.start();
    tick();
  }

  /** Returns whether connections are spread over the controllers. */
  public boolean isActive() {
    return mode.isActive();
  }

  /** Returns the number of reports sent to a leader so far, repetitions included. */
  public long relayedReports() {
    return relayedReports;
  }

  private void tick() {
    for (String member : zonesByMember.keySet()) {
      if (peers.isAlive(member)) {
        aliveSinceMs.putIfAbsent(member, clock.now());
      } else {
        aliveSinceMs.remove(member);
      }
    }
    if (leadership.isLeading()) {
      if (mode.decide(leadership.term(), machineCount.getAsInt())) {
        LOG.info(
            "{} machines known: worker connections are now {}",
            machineCount.getAsInt(),
            mode.isActive() ? "spread" : "direct");
      }
      if (mode.shouldAnnounce()) {
        aliveSinceMs.keySet().forEach(m -> links.send(m, RequestKind.MODE, mode.encode()));
      }
    }
    retryHeldReports();
    timer = timers.after(tickMs, this::tick);
  }

  // ---- assignment of a machine's connections ----

  /**
   * Returns the controller that a machine is assigned to. Candidates are this controller and those
   * that have been alive for a quarter of a lease, so that a controller that repeatedly stops and
   * returns does not take connections each time.
   */
  private String assignedController(Report report) {
    List<RelayAssignment.Candidate> candidates = new ArrayList<>();
    candidates.add(new RelayAssignment.Candidate(settings.member(), settings.zone()));
    aliveSinceMs.forEach(
        (member, sinceMs) -> {
          if (clock.now() - sinceMs >= leaseMs / 4) {
            candidates.add(new RelayAssignment.Candidate(member, zonesByMember.get(member)));
          }
        });
    return RelayAssignment.controllerFor(report.host(), report.zone(), candidates);
  }

  /**
   * Returns the controller that a worker is to report to, or null if it is to stay here.
   * Controllers may disagree for a while on who is alive, so a worker is redirected at most once
   * per lease.
   */
  private String redirectTarget(Report report) {
    String target = assignedController(report);
    long now = clock.now();
    Long lastRedirectMs = redirectedAtMs.get(report.host());
    if (target.equals(settings.member())
        || lastRedirectMs != null && now - lastRedirectMs <= leaseMs) {
      return null;
    }
    redirectedAtMs.remove(report.host());
    redirectedAtMs.put(report.host(), now);
    return target;
  }

  /**
   * Returns the controller that a worker is to report to if its report came directly to the leader;
   * null if the worker is to stay or the report was relayed.
   */
  public String redirectTargetOfDirectReport(Exchange exchange, Report report) {
    boolean isDirect = RelayedReport.relayOf(exchange) == null;
    return isDirect && mode.isActive() ? redirectTarget(report) : null;
  }

  // ---- reports at a controller that does not lead ----

  /**
   * Redirects or relays a report while connections are spread; returns false if it did neither.
   * {@code fallback} answers the report if no leader can be asked in time.
   */
  public boolean tryRelay(Exchange exchange, Report report, Runnable fallback) {
    // A report that was relayed already came here by mistake, since its sender knows an older
    // leader: it is not relayed again.
    if (!mode.isActive() || RelayedReport.relayOf(exchange) != null) {
      return false;
    }
    String target = redirectTarget(report);
    if (target != null) {
      exchange.reply(421, Json.bytes(Json.object().put("steward", target)), 0);
      return true;
    }
    forward(new HeldReport(exchange, clock.now() + RELAY_DEADLINE_MS, fallback));
    return true;
  }

  /**
   * Forwards a report to the leader, or holds it until there is one, so that the end of a leader
   * does not send workers to other controllers.
   */
  private void forward(HeldReport report) {
    String leader = leadership.currentLeader();
    long remainingMs = report.deadlineMs() - clock.now();
    if (leader != null
        && !leader.equals(settings.member())
        && peers.isAlive(leader)
        && remainingMs > 0) {
      relayedReports++;
      links.call(
          leader,
          RequestKind.REPORT,
          "",
          report.exchange().body(),
          Math.min(remainingMs, RELAY_DEADLINE_MS / ATTEMPTS_PER_DEADLINE),
          reply -> replyReceived(report, reply));
    } else if (!heldReports.hold(report)) {
      report.fallback().run();
    }
  }

  private void replyReceived(HeldReport report, HttpReply reply) {
    if (reply.status() > 0) {
      report.exchange().reply(reply.status(), reply.body(), 0);
    } else if (!heldReports.hold(report)) {
      report.fallback().run();
    }
  }

  private void retryHeldReports() {
    heldReports.takeExpired().forEach(report -> report.fallback().run());
    if (leadership.isLeading()) {
      // Elected in the meantime: this controller handles the held reports itself.
      heldReports.takeAll().forEach(report -> reportHandler.accept(report.exchange()));
    } else {
      heldReports.takeAll().forEach(this::forward);
    }
  }

  // ---- commands at the leader ----

  /**
   * Sends commands to a worker through the controller that holds its connection.
   *
   * @param relay the controller that holds the connection, or null for a direct call
   */
  public void sendCommands(
      String relay, String endpoint, byte[] body, long timeoutMs, Consumer<HttpReply> done) {
    if (relay == null || !mode.isActive() || !peers.isAlive(relay)) {
      deliver(endpoint, body, timeoutMs, done);
    } else {
      // The relay's own call must time out first, so that its outcome still arrives in time.
      links.call(relay, RequestKind.COMMAND, endpoint, body, timeoutMs + tickMs, done);
    }
  }

  private void deliver(String endpoint, byte[] body, long timeoutMs, Consumer<HttpReply> done) {
    http.call(endpoint, "POST", "/orders", body, timeoutMs, done);
  }

  // ---- requests of other controllers ----

  private void handle(String member, Request request, Consumer<HttpReply> done) {
    switch (request.kind()) {
      case REPORT -> {
        if (leadership.isLeading()) {
          reportHandler.accept(new RelayedReport(member, request.body(), done));
        } else {
          done.accept(HttpReply.of(HttpReply.NOT_SENT));
        }
      }
      case COMMAND -> deliver(request.endpoint(), request.body(), request.timeoutMs(), done);
      case MODE -> {
        if (!leadership.isLeading() && !mode.receive(request.body())) {
          peers.requests().countRefusedMessage();
        }
      }
      default -> {}
    }
  }

  @Override
  public void close() {
    timer.cancel();
    links.close();
  }
}
