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
 * Handles the requests of operators. Each answer holds as of a read barrier that was passed for its
 * request. Requests for state that only the leader has in memory are forwarded to the leader; they
 * are never answered from the memory of a controller that does not lead.
 */
public final class AdminHandler {
  private static final Logger LOG = LoggerFactory.getLogger(AdminHandler.class);
  private static final String TOPIC = "admin";
  private static final String METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  // Users asked for an error rather than a longer wait when there is no leader for this long.
  private static final long LEADER_WAIT_MS = 1000;
  private static final long LEADER_RETRY_MS = 50;
  private static final int MAX_OPEN_REQUESTS = 64;

  // Sent only between controllers: the controller that received the request does not lead.
  private static final int STATUS_NOT_LEADING = 421;

  private final Clock clock;
  private final Timers timers;
  private final Authenticator authenticator;
  private final Leadership leadership;
  private final Ledger ledger;
  private final Peers peers;
  private final Replica replica;
  private final StateClient stateClient;
  private final Routes routes;
  private final JobViews jobs;
  private final Consumer<Exchange> userRequestHandler;
  private final Supplier<byte[]> metrics;
  private final TokenBucket refusalLogLimiter;
  private int openRequestCount;

  /**
   * Creates the handler and registers it for the requests that peers forward.
   *
   * @param userRequestHandler handles submissions, as for users
   * @param metrics returns the metrics in text format
   */
  public AdminHandler(
      ControllerComponents components,
      Authenticator authenticator,
      Consumer<Exchange> userRequestHandler,
      Supplier<byte[]> metrics) {
    this.clock = components.clock();
    this.timers = components.timers();
    this.authenticator = authenticator;
    this.leadership = components.leadership();
    this.ledger = components.ledger();
    this.peers = components.peers();
    this.replica = components.replica();
    this.stateClient = components.state();
    this.userRequestHandler = userRequestHandler;
    this.metrics = metrics;
    this.refusalLogLimiter = new TokenBucket(clock, 0.2, 25);
    AsOfStamp asOf = new AsOfStamp(components.settings(), leadership, replica);
    PagedListing listing = new PagedListing(timers, asOf);
    this.jobs = new JobViews(clock, ledger, stateClient, asOf, listing);
    MachineViews machines =
        new MachineViews(clock, components.workers(), components.drains(), jobs, asOf, listing);
    double planIntervalS = components.operatorSettings().planIntervalMs() / 1000.0;
    this.routes =
        new Routes(
            jobs,
            machines,
            new WhyView(components, jobs, asOf, planIntervalS),
            new ClusterViews(components, machines, asOf),
            new EventViews(timers, components.events(), listing),
            new DrainHandler(
                clock, components.settings(), components.workers(), components.drains(), asOf),
            new ReplacementHandler(components, asOf));
    peers.requests().handle(TOPIC, this::handlePeerRequest);
  }

  /** Adds a job that is recorded and has not finished to the listing. */
  public void addUnfinishedJob(String ref) {
    jobs.addUnfinished(ref);
  }

  /** Removes a job that has finished from the listing. */
  public void removeUnfinishedJob(String ref) {
    jobs.removeUnfinished(ref);
  }

  /** Removes all jobs from the listing, because the replica is read again from the start. */
  public void clearUnfinishedJobs() {
    jobs.clearUnfinished();
  }

  /** Authenticates the caller of a request and answers it. */
  public void handle(Exchange exchange) {
    Authenticator.Identity identity = authenticator.identify(exchange);
    if (identity == null) {
      // The rate is limited, so that a client that guesses tokens does not fill the log.
      if (refusalLogLimiter.take(1)) {
        LOG.warn(
            "admin request {} {} refused: no valid token or client certificate",
            exchange.method(),
            exchange.path());
      }
      reply(exchange, AdminResponse.error(401, "a valid token or client certificate is needed"));
      return;
    }
    Role role = identity.mayOperate() ? Role.OPERATE : Role.VIEW;
    if (exchange.path().equals("/metrics")) {
      exchange.reply(METRICS_CONTENT_TYPE, metrics.get());
    } else if (exchange.path().equals("/submissions")
        || exchange.path().startsWith("/submissions/")) {
      handleUserRequest(exchange, role);
    } else {
      Caller caller = new Caller(identity.name(), role);
      dispatch(
          exchange,
          AdminRequest.read(
              exchange.method(), exchange.path(), exchange.query(), exchange.body(), caller));
    }
  }

  private void handleUserRequest(Exchange exchange, Role role) {
    if (exchange.method().equals("GET") || role.covers(Role.OPERATE)) {
      userRequestHandler.accept(exchange);
    } else {
      reply(exchange, AdminResponse.error(403, "this needs the role operate"));
    }
  }

  private void dispatch(Exchange exchange, AdminRequest request) {
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
      reply(exchange, AdminResponse.error(403, "this needs the role " + route.role().label()));
    } else if (openRequestCount >= MAX_OPEN_REQUESTS) {
      reply(exchange, AdminResponse.retryLater("too many questions at once"));
    } else {
      openRequestCount++;
      Consumer<AdminResponse> done =
          response -> {
            openRequestCount--;
            reply(exchange, response);
          };
      if (route.leaderOnly()) {
        serveFromLeader(request, route, clock.now() + LEADER_WAIT_MS, done);
      } else {
        serveAfterBarrier(request, route, () -> true, done);
      }
    }
  }

  private static void reply(Exchange exchange, AdminResponse response) {
    exchange.reply(response.status(), response.body(), response.retryAfterS());
  }

  // ---- requests that only the leader can answer ----

  private void serveFromLeader(
      AdminRequest request, Routes.Route route, long deadlineMs, Consumer<AdminResponse> done) {
    if (canServeAsLeader()) {
      serveAfterBarrier(request, route, this::canServeAsLeader, done);
      return;
    }
    String leader = leadership.isLeading() ? null : leadership.currentLeader();
    if (leader == null || !peers.isAlive(leader)) {
      retryLeader(
          request,
          route,
          deadlineMs,
          done,
          leader == null ? "nobody leads" : leader + " is silent");
      return;
    }
    long timeoutMs = Math.max(LEADER_RETRY_MS, deadlineMs - clock.now()) + route.waitMs();
    peers
        .requests()
        .ask(
            leader,
            TOPIC,
            Json.bytes(request.toJson()),
            timeoutMs,
            frame -> {
              AdminResponse response = frame == null ? null : AdminResponse.parse(frame);
              if (response == null) {
                done.accept(
                    AdminResponse.retryLater("the leader, " + leader + ", did not answer in time"));
              } else if (response.status() == STATUS_NOT_LEADING) {
                retryLeader(request, route, deadlineMs, done, leader + " does not lead yet");
              } else {
                done.accept(response);
              }
            });
  }

  private boolean canServeAsLeader() {
    return leadership.isLeading() && ledger.canLaunch();
  }

  private void retryLeader(
      AdminRequest request,
      Routes.Route route,
      long deadlineMs,
      Consumer<AdminResponse> done,
      String reason) {
    if (clock.now() >= deadlineMs) {
      done.accept(AdminResponse.retryLater("no leader can be asked: " + reason));
    } else {
      timers.after(LEADER_RETRY_MS, () -> serveFromLeader(request, route, deadlineMs, done));
    }
  }

  /** Answers a request that a peer forwarded because it takes this controller for the leader. */
  private void handlePeerRequest(byte[] body, Consumer<byte[]> sendReply) {
    AdminRequest request = AdminRequest.parse(Json.parse(body));
    Routes.Route route = request == null ? null : routes.find(request);
    if (route == null) {
      sendReply.accept(AdminResponse.error(404, "no such path").toFrame());
    } else if (!canServeAsLeader()) {
      sendReply.accept(new AdminResponse(STATUS_NOT_LEADING, new byte[0], 0).toFrame());
    } else {
      serveAfterBarrier(
          request, route, this::canServeAsLeader, response -> sendReply.accept(response.toFrame()));
    }
  }

  // ---- answering ----

  /**
   * Answers after a read barrier, provided that {@code canStillServe} returns true at that time.
   */
  private void serveAfterBarrier(
      AdminRequest request,
      Routes.Route route,
      java.util.function.BooleanSupplier canStillServe,
      Consumer<AdminResponse> done) {
    if (!replica.isReady() || !stateClient.isReachable()) {
      done.accept(AdminResponse.retryLater(notReadyReason()));
      return;
    }
    replica.barrier(
        passed -> {
          if (!passed) {
            done.accept(AdminResponse.retryLater(notReadyReason()));
          } else if (!canStillServe.getAsBoolean()) {
            done.accept(AdminResponse.retryLater("the leader has just changed"));
          } else {
            invokeHandler(request, route, done);
          }
        });
  }

  private String notReadyReason() {
    return stateClient.isReachable()
        ? "this controller is still reading the records"
        : "the state service does not answer";
  }

  private static void invokeHandler(
      AdminRequest request, Routes.Route route, Consumer<AdminResponse> done) {
    try {
      route.handler().answer(request, done);
    } catch (AdminRequest.BadRequestException e) {
      done.accept(AdminResponse.error(400, e.getMessage()));
    } catch (RuntimeException e) {
      LOG.error(
          "admin request {} {} from {} failed; answering with status 500",
          request.method(),
          request.path(),
          request.caller().name(),
          e);
      done.accept(AdminResponse.error(500, "this went wrong; the log says more"));
    }
  }
}
