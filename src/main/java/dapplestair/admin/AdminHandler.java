package dapplestair.admin;

import dapplestair.json.Json;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Ledger;
import dapplestair.peers.Peers;
import dapplestair.ports.Clock;
import dapplestair.ports.Exchange;
import dapplestair.ports.Timers;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.state.TokenBucket;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers operators. Whatever is told holds as of a read barrier passed for this question; what
 * only a leader knows is asked of the leader, and never told from an older memory.
 */
public final class AdminHandler {
  private static final Logger LOG = LoggerFactory.getLogger(AdminHandler.class);
  private static final String TOPIC = "admin";
  private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";

  // From the users' wish: without a leader for so long, say so.
  private static final long LEADER_WITHIN_MS = 1000;
  private static final long LOOK_AGAIN_MS = 50;
  private static final int MOST_OPEN = 64;

  // Between controllers only: the one that was asked does not lead.
  private static final int NOT_LEADING = 421;

  private final Clock clock;
  private final Timers timers;
  private final Authenticator authenticator;
  private final Leadership leadership;
  private final Ledger ledger;
  private final Peers peers;
  private final Replica replica;
  private final StateClient state;
  private final Routes routes;
  private final JobViews jobs;
  private final Consumer<Exchange> users;
  private final Supplier<byte[]> metrics;
  private final TokenBucket failures;
  private int open;

  /** {@code users} answers what users ask; {@code metrics} gives them as text. */
  public AdminHandler(
      ControllerComponents components,
      Authenticator authenticator,
      Consumer<Exchange> users,
      Supplier<byte[]> metrics) {
    this.clock = components.clock();
    this.timers = components.timers();
    this.authenticator = authenticator;
    this.leadership = components.leadership();
    this.ledger = components.ledger();
    this.peers = components.peers();
    this.replica = components.replica();
    this.state = components.state();
    this.users = users;
    this.metrics = metrics;
    this.failures = new TokenBucket(clock, 0.2, 25);
    AsOfStamp asOf = new AsOfStamp(components.settings(), leadership, replica);
    PagedListing listing = new PagedListing(timers, asOf);
    this.jobs = new JobViews(clock, ledger, state, asOf, listing);
    MachineViews machines =
        new MachineViews(clock, components.workers(), components.drains(), jobs, asOf, listing);
    double planS = components.operatorSettings().planIntervalMs() / 1000.0;
    this.routes =
        new Routes(
            jobs,
            machines,
            new WhyView(components, jobs, asOf, planS),
            new ClusterViews(components, machines, asOf),
            new EventViews(timers, components.events(), listing),
            new DrainHandler(
                clock, components.settings(), components.workers(), components.drains(), asOf),
            new ReplacementHandler(components, asOf));
    peers.requests().handle(TOPIC, this::asked);
  }

  /** A job is there and not over. */
  public void jobPut(String ref) {
    jobs.put(ref);
  }

  /** A job is over. */
  public void jobRemoved(String ref) {
    jobs.removed(ref);
  }

  /** The replica begins anew. */
  public void clear() {
    jobs.clear();
  }

  /** An operator asks. */
  public void handle(Exchange exchange) {
    Authenticator.Identity known = authenticator.who(exchange);
    if (known == null) {
      // Bounded, so that guessing does not fill the log.
      if (failures.take(1)) {
        LOG.warn(
            "{} {} refused: no valid token or certificate", exchange.method(), exchange.path());
      }
      reply(exchange, AdminResponse.error(401, "a valid token or client certificate is needed"));
      return;
    }
    Role role = known.operates() ? Role.OPERATE : Role.VIEW;
    if (exchange.path().equals("/metrics")) {
      exchange.reply(TEXT, metrics.get());
    } else if (exchange.path().equals("/submissions")
        || exchange.path().startsWith("/submissions/")) {
      asUser(exchange, role);
    } else {
      Caller caller = new Caller(known.name(), role);
      ask(
          exchange,
          AdminRequest.read(
              exchange.method(), exchange.path(), exchange.query(), exchange.body(), caller));
    }
  }

  private void asUser(Exchange exchange, Role role) {
    if (exchange.method().equals("GET") || role.covers(Role.OPERATE)) {
      users.accept(exchange);
    } else {
      reply(exchange, AdminResponse.error(403, "this needs the role operate"));
    }
  }

  private void ask(Exchange exchange, AdminRequest request) {
    Routes.Route route = routes.find(request);
    if (route == null) {
      reply(exchange, AdminResponse.error(404, "no such path"));
    } else if (!request.method().equals(route.role() == Role.VIEW ? "GET" : "POST")) {
      reply(
          exchange,
          AdminResponse.error(405, "use " + (route.role() == Role.VIEW ? "GET" : "POST")));
    } else if (!request.body().isObject()) {
      reply(exchange, AdminResponse.error(400, "the body is not a JSON object"));
    } else if (!request.caller().role().covers(route.role())) {
      reply(exchange, AdminResponse.error(403, "this needs the role " + route.role().shown()));
    } else if (open >= MOST_OPEN) {
      reply(exchange, AdminResponse.later("too many questions at once"));
    } else {
      open++;
      Consumer<AdminResponse> done =
          a -> {
            open--;
            reply(exchange, a);
          };
      if (route.byLeader()) {
        lead(request, route, clock.now() + LEADER_WITHIN_MS, done);
      } else {
        serve(request, route, () -> true, done);
      }
    }
  }

  private static void reply(Exchange exchange, AdminResponse response) {
    exchange.reply(response.status(), response.body(), response.retryAfterS());
  }

  // ---- the leader's memory ----

  private void lead(
      AdminRequest request, Routes.Route route, long deadline, Consumer<AdminResponse> done) {
    if (able()) {
      serve(request, route, this::able, done);
      return;
    }
    String leader = leadership.isLeading() ? null : leadership.currentLeader();
    if (leader == null || !peers.isAlive(leader)) {
      again(
          request, route, deadline, done, leader == null ? "nobody leads" : leader + " is silent");
      return;
    }
    long timeouts = Math.max(LOOK_AGAIN_MS, deadline - clock.now()) + route.waitMs();
    peers
        .requests()
        .ask(
            leader,
            TOPIC,
            Json.bytes(request.toJson()),
            timeouts,
            frame -> {
              AdminResponse response = frame == null ? null : AdminResponse.parse(frame);
              if (response == null) {
                done.accept(
                    AdminResponse.later("the leader, " + leader + ", did not answer in time"));
              } else if (response.status() == NOT_LEADING) {
                again(request, route, deadline, done, leader + " does not lead yet");
              } else {
                done.accept(response);
              }
            });
  }

  private boolean able() {
    return leadership.isLeading() && ledger.canLaunch();
  }

  private void again(
      AdminRequest request,
      Routes.Route route,
      long deadline,
      Consumer<AdminResponse> done,
      String why) {
    if (clock.now() >= deadline) {
      done.accept(AdminResponse.later("no leader can be asked: " + why));
    } else {
      timers.after(LOOK_AGAIN_MS, () -> lead(request, route, deadline, done));
    }
  }

  /** A peer asks this controller as the leader. */
  private void asked(byte[] body, Consumer<byte[]> answer) {
    AdminRequest request = AdminRequest.parse(Json.parse(body));
    Routes.Route route = request == null ? null : routes.find(request);
    if (route == null) {
      answer.accept(AdminResponse.error(404, "no such path").frame());
    } else if (!able()) {
      answer.accept(new AdminResponse(NOT_LEADING, new byte[0], 0).frame());
    } else {
      serve(request, route, this::able, a -> answer.accept(a.frame()));
    }
  }

  // ---- answering ----

  /** Passes a barrier, then answers if {@code still} holds. */
  private void serve(
      AdminRequest request,
      Routes.Route route,
      java.util.function.BooleanSupplier still,
      Consumer<AdminResponse> done) {
    if (!replica.isReady() || !state.isReachable()) {
      done.accept(AdminResponse.later(unready()));
      return;
    }
    replica.barrier(
        passed -> {
          if (!passed) {
            done.accept(AdminResponse.later(unready()));
          } else if (!still.getAsBoolean()) {
            done.accept(AdminResponse.later("the leader has just changed"));
          } else {
            answer(request, route, done);
          }
        });
  }

  private String unready() {
    return state.isReachable()
        ? "this controller is still reading the records"
        : "the state service does not answer";
  }

  private static void answer(
      AdminRequest request, Routes.Route route, Consumer<AdminResponse> done) {
    try {
      route.handler().answer(request, done);
    } catch (AdminRequest.BadRequestException e) {
      done.accept(AdminResponse.error(400, e.getMessage()));
    } catch (RuntimeException e) {
      LOG.error("{} {} failed", request.method(), request.path(), e);
      done.accept(AdminResponse.error(500, "this went wrong; the log says more"));
    }
  }
}
