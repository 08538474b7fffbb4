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
 * Spreads the connections of workers over all controllers once one alone has too few sockets. A
 * controller that does not lead passes reports on to the leader and its answers back, and delivers
 * the leader's commands. It decides nothing and keeps nothing: to the rules it is a network path,
 * which may lose, delay and reorder (docs/sharing.md).
 */
public final class Relay implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Relay.class);

  /** A machine takes two sockets of the leader: its reports, and the commands sent to it. */
  private static final int SOCKETS_PER_MACHINE = 2;

  /** Part of the 4 s for which a worker waits for an answer (PROTOCOL). */
  private static final long RELAY_DEADLINE_MS = 4000 * 5 / 8;

  /** A leader that ends takes the reports on their way with it: these are sent again. */
  private static final int MAX_ATTEMPTS = 3;

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
   * Relays nothing before {@link #start}.
   *
   * @param socketShare share of the allowed connections that direct connections of machines may
   *     take; relaying begins beyond it
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
   * Begins.
   *
   * @param onReport serves a report while this controller leads
   * @param countMachines how many machines the leader knows
   */
  public void start(Consumer<Exchange> onReport, IntSupplier countMachines) {
    reportHandler = onReport;
    machineCount = countMachines;
    links.start();
    tick();
  }

  /** True while connections are spread. */
  public boolean isActive() {
    return mode.isActive();
  }

  /** Reports passed on to a leader so far. */
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
            "connections of {} machines are {}",
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

  // ---- where a machine's connections belong ----

  /**
   * Candidates are this controller and those that have been alive for a while: one that comes and
   * goes must not take connections each time.
   */
  private String assignedController(Report report) {
    List<RelayAssignment.Candidate> candidates = new ArrayList<>();
    candidates.add(new RelayAssignment.Candidate(settings.member(), settings.zone()));
    aliveSinceMs.forEach(
        (member, since) -> {
          if (clock.now() - since >= leaseMs / 4) {
            candidates.add(new RelayAssignment.Candidate(member, zonesByMember.get(member)));
          }
        });
    return RelayAssignment.controllerFor(report.host(), report.zone(), candidates);
  }

  /**
   * The controller that a worker is to report to, or null when it may stay. Controllers may see
   * each other differently for a while, so a worker is sent on once a lease at the most.
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

  /** The leader's question: where a worker that came directly is to report to, or null. */
  public String redirectTargetOfDirect(Exchange exchange, Report report) {
    boolean isDirect = RelayedReport.relayOf(exchange) == null;
    return isDirect && mode.isActive() ? redirectTarget(report) : null;
  }

  // ---- reports, at a controller that does not lead ----

  /**
   * Takes a report if it is to be relayed. {@code fallback} answers it if no leader can be asked in
   * time. False when nothing was done.
   */
  public boolean tryRelay(Exchange exchange, Report report, Runnable fallback) {
    // One that was relayed already came here by mistake: its sender knows an older leader.
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

  /** Passes it on, or holds it until there is a leader: one that ends sends no worker away. */
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
          Math.min(remainingMs, RELAY_DEADLINE_MS / MAX_ATTEMPTS),
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
      // Elected meanwhile: these are its own now.
      heldReports.takeAll().forEach(report -> reportHandler.accept(report.exchange()));
    } else {
      heldReports.takeAll().forEach(this::forward);
    }
  }

  // ---- commands, at the leader ----

  /**
   * Sends commands to a worker by way of the controller that holds its connection.
   *
   * @param relay that controller, or null for a direct call
   */
  public void sendCommands(
      String relay, String endpoint, byte[] body, long timeoutMs, Consumer<HttpReply> done) {
    if (relay == null || !mode.isActive() || !peers.isAlive(relay)) {
      deliver(endpoint, body, timeoutMs, done);
    } else {
      // The relay's own call ends first, so that its word on the outcome still counts.
      links.call(relay, RequestKind.COMMAND, endpoint, body, timeoutMs + tickMs, done);
    }
  }

  private void deliver(String endpoint, byte[] body, long timeoutMs, Consumer<HttpReply> done) {
    http.call(endpoint, "POST", "/orders", body, timeoutMs, done);
  }

  // ---- what other controllers ask ----

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
