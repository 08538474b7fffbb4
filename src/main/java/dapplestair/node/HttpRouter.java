package dapplestair.node;

import dapplestair.json.Json;
import dapplestair.peers.Peers;
import dapplestair.ports.Exchange;
import dapplestair.submissions.SubmissionHandler;
import dapplestair.workers.WorkerManager;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/** Routes each request of users, workers and health checks to the component that handles it. */
final class HttpRouter {
  private static final String SUBMISSIONS = "/submissions";

  private final WorkerManager workers;
  private final SubmissionHandler submissions;
  private final BooleanSupplier canTakeRequests;
  private final Peers peers;
  private final LongSupplier stateUnreachableMs;
  private final long outageThresholdMs;

  /**
   * Creates the router.
   *
   * @param canTakeRequests whether this controller can take requests now
   * @param stateUnreachableMs for how long the state service has not answered
   * @param outageThresholdMs time without an answer after which the failure of the state service
   *     counts as an outage rather than as transient
   */
  HttpRouter(
      WorkerManager workers,
      SubmissionHandler submissions,
      BooleanSupplier canTakeRequests,
      Peers peers,
      LongSupplier stateUnreachableMs,
      long outageThresholdMs) {
    this.workers = workers;
    this.submissions = submissions;
    this.canTakeRequests = canTakeRequests;
    this.peers = peers;
    this.stateUnreachableMs = stateUnreachableMs;
    this.outageThresholdMs = outageThresholdMs;
  }

  /** Answers a request of a user, a worker or a health check. */
  void handle(Exchange exchange) {
    String path = exchange.path();
    if (path.equals("/agent/beat")) {
      if (requireMethod(exchange, "POST")) {
        workers.handleReport(exchange);
      }
    } else if (path.equals("/up")) {
      if (requireMethod(exchange, "GET")) {
        handleHealthCheck(exchange);
      }
    } else {
      handleUser(exchange);
    }
  }

  /** Answers a request of a user, including one that a peer relayed. */
  void handleUser(Exchange exchange) {
    String path = exchange.path();
    if (path.equals(SUBMISSIONS)) {
      if (requireMethod(exchange, "POST")) {
        submissions.submit(exchange);
      }
    } else if (path.startsWith(SUBMISSIONS + "/")) {
      handleSubmission(exchange, path.substring(SUBMISSIONS.length() + 1));
    } else {
      replyError(exchange, 404, "no such path");
    }
  }

  private void handleSubmission(Exchange exchange, String subPath) {
    int slash = subPath.indexOf('/');
    if (slash < 0) {
      if (requireMethod(exchange, "GET")) {
        submissions.poll(exchange, subPath);
      }
    } else if (subPath.substring(slash).equals("/withdraw")) {
      if (requireMethod(exchange, "POST")) {
        submissions.cancel(exchange, subPath.substring(0, slash));
      }
    } else {
      replyError(exchange, 404, "no such path");
    }
  }

  /**
   * Answers a health check. A controller reports itself unhealthy only while another controller can
   * serve users better: in an outage that affects all controllers, users are told when to come back
   * instead of finding no controller. A controller that reaches neither the state service nor any
   * peer cannot tell these cases apart. It assumes that it alone is cut off: an outage of all
   * controllers ends for all of them at once, and it costs users little if they find no controller
   * until then.
   */
  private void handleHealthCheck(Exchange exchange) {
    boolean cutOff = peers.isCutOff() && stateUnreachableMs.getAsLong() > outageThresholdMs;
    boolean healthy = canTakeRequests.getAsBoolean() || !peers.hasReadyPeer() && !cutOff;
    exchange.reply(healthy ? 200 : 503, Json.bytes(Json.object().put("up", healthy)), 0);
  }

  private static boolean requireMethod(Exchange exchange, String expected) {
    if (exchange.method().equals(expected)) {
      return true;
    }
    replyError(exchange, 405, "use " + expected);
    return false;
  }

  private static void replyError(Exchange exchange, int status, String message) {
    exchange.reply(status, Json.bytes(Json.object().put("error", message)), 0);
  }
}
