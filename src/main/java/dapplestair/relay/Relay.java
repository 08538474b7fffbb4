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
  private static final int SOCKETS_OF_MACHINE = 2;

  /** Part of the 4 s for which a worker waits for an answer (PROTOCOL). */
  private static final long ANSWER_WITHIN_MS = 4000 * 5 / 8;

  /** A leader that ends takes the reports on their way with it: these are sent again. */
  private static final int ATTEMPTS = 3;

  private static final int MOST_MOVES_KEPT = 8192;

  private final Clock clock;
  private final Timers timers;
  private final HttpCaller http;
  private final Settings settings;
  private final Leadership leadership;
  private final Peers peers;
  private final RelayLinks links;
  private final RelayMode mode;
  private final HeldReports held;
  private final long tickMs;
  private final long leaseMs;
  private final Map<String, String> zones = new HashMap<>();
  private final Map<String, Long> aliveSince = new HashMap<>();
  private final Map<String, Long> movedAt = new BoundedMap<>(MOST_MOVES_KEPT);
  private Consumer<Exchange> reports = x -> {};
  private IntSupplier machines = () -> 0;
  private long relayed;
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
    double most = socketShare * settings.resources().maxConnections() / SOCKETS_OF_MACHINE;
    this.mode = new RelayMode(clock, most, leaseMs);
    this.held = new HeldReports(clock);
    settings.peers().forEach(p -> zones.put(p.member(), p.zone()));
  }

  /**
   * Begins.
   *
   * @param takeReport serves a report while this controller leads
   * @param countMachines how many machines the leader knows
   */
  public void start(Consumer<Exchange> takeReport, IntSupplier countMachines) {
    reports = takeReport;
    machines = countMachines;
    links.start();
    tick();
  }

  /** True while connections are spread. */
  public boolean on() {
    return mode.on();
  }

  /** Reports passed on to a leader so far. */
  public long relayed() {
    return relayed;
  }

  private void tick() {
    for (String member : zones.keySet()) {
      if (peers.alive(member)) {
        aliveSince.putIfAbsent(member, clock.now());
      } else {
        aliveSince.remove(member);
      }
    }
    if (leadership.isLeading()) {
      if (mode.decide(leadership.term(), machines.getAsInt())) {
        LOG.info(
            "connections of {} machines are {}",
            machines.getAsInt(),
            mode.on() ? "spread" : "direct");
      }
      if (mode.worthTelling()) {
        aliveSince.keySet().forEach(m -> links.tell(m, RequestKind.MODE, mode.encode()));
      }
    }
    retryHeld();
    timer = timers.after(tickMs, this::tick);
  }

  // ---- where a machine's connections belong ----

  /**
   * Candidates are this controller and those that have been alive for a while: one that comes and
   * goes must not take connections each time.
   */
  private String assigned(Report report) {
    List<RelayAssignment.Candidate> candidates = new ArrayList<>();
    candidates.add(new RelayAssignment.Candidate(settings.member(), settings.zone()));
    aliveSince.forEach(
        (member, since) -> {
          if (clock.now() - since >= leaseMs / 4) {
            candidates.add(new RelayAssignment.Candidate(member, zones.get(member)));
          }
        });
    return RelayAssignment.of(report.host(), report.zone(), candidates);
  }

  /**
   * The controller that a worker is to report to, or null when it may stay. Controllers may see
   * each other differently for a while, so a worker is sent on once a lease at the most.
   */
  private String sendOnTo(Report report) {
    String to = assigned(report);
    long now = clock.now();
    Long last = movedAt.get(report.host());
    if (to.equals(settings.member()) || last != null && now - last <= leaseMs) {
      return null;
    }
    movedAt.remove(report.host());
    movedAt.put(report.host(), now);
    return to;
  }

  /** The leader's question: where a worker that came directly is to report to, or null. */
  public String elsewhere(Exchange exchange, Report report) {
    boolean direct = RelayedReport.relayOf(exchange) == null;
    return direct && mode.on() ? sendOnTo(report) : null;
  }

  // ---- reports, at a controller that does not lead ----

  /**
   * Takes a report if it is to be relayed. {@code otherwise} answers it if no leader can be asked
   * in time. False when nothing was done.
   */
  public boolean take(Exchange exchange, Report report, Runnable otherwise) {
    // One that was relayed already came here by mistake: its sender knows an older leader.
    if (!mode.on() || RelayedReport.relayOf(exchange) != null) {
      return false;
    }
    String to = sendOnTo(report);
    if (to != null) {
      exchange.reply(421, Json.bytes(Json.object().put("steward", to)), 0);
      return true;
    }
    pass(new HeldReport(exchange, clock.now() + ANSWER_WITHIN_MS, otherwise));
    return true;
  }

  /** Passes it on, or holds it until there is a leader: one that ends sends no worker away. */
  private void pass(HeldReport report) {
    String leader = leadership.currentLeader();
    long left = report.deadline() - clock.now();
    if (leader != null && !leader.equals(settings.member()) && peers.alive(leader) && left > 0) {
      relayed++;
      links.call(
          leader,
          RequestKind.REPORT,
          "",
          report.exchange().body(),
          Math.min(left, ANSWER_WITHIN_MS / ATTEMPTS),
          reply -> answered(report, reply));
    } else if (!held.hold(report)) {
      report.otherwise().run();
    }
  }

  private void answered(HeldReport report, HttpReply reply) {
    if (reply.status() > 0) {
      report.exchange().reply(reply.status(), reply.body(), 0);
    } else if (!held.hold(report)) {
      report.otherwise().run();
    }
  }

  private void retryHeld() {
    held.takeExpired().forEach(report -> report.otherwise().run());
    if (leadership.isLeading()) {
      // Elected meanwhile: these are its own now.
      held.takeAll().forEach(report -> reports.accept(report.exchange()));
    } else {
      held.takeAll().forEach(this::pass);
    }
  }

  // ---- commands, at the leader ----

  /**
   * Sends commands to a worker by way of the controller that holds its connection.
   *
   * @param relay that controller, or null for a direct call
   */
  public void command(
      String relay, String endpoint, byte[] body, long timeoutMs, Consumer<HttpReply> done) {
    if (relay == null || !mode.on() || !peers.alive(relay)) {
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
          reports.accept(new RelayedReport(member, request.body(), done));
        } else {
          done.accept(HttpReply.of(HttpReply.NOT_SENT));
        }
      }
      case COMMAND -> deliver(request.endpoint(), request.body(), request.timeoutMs(), done);
      case MODE -> {
        if (!leadership.isLeading() && !mode.heard(request.body())) {
          peers.questions().refused();
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
