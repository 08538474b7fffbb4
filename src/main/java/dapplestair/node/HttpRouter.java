package dapplestair.node;

import dapplestair.json.Json;
import dapplestair.peers.Peers;
import dapplestair.ports.Exchange;
import dapplestair.submissions.SubmissionHandler;
import dapplestair.workers.WorkerManager;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/** Brings each request of users, workers and health checks to the duty whose it is. */
final class HttpRouter {
  private static final String SUBMISSIONS = "/submissions";

  private final WorkerManager workers;
  private final SubmissionHandler submissions;
  private final BooleanSupplier canTakeRequests;
  private final Peers peers;
  private final LongSupplier stateUnreachableMs;
  private final long outageThresholdMs;

  /**
   * {@code canTakeRequests} says whether this controller can take requests now, {@code
   * stateUnreachableMs} for how long the state service has not answered; from {@code
   * outageThresholdMs} on it is no passing trouble.
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
        workers.beat(exchange);
      }
    } else if (path.equals("/up")) {
      if (requireMethod(exchange, "GET")) {
        handleHealthCheck(exchange);
      }
    } else {
      handleUser(exchange);
    }
  }

  /** Answers a request of a user, also one that a peer passed on. */
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
   * Unhealthy only while another controller can do better: in an outage of all, users are told when
   * to come back instead of finding nobody. Whoever is served neither by the state service nor by
   * any peer cannot know; it takes itself for the one that is cut off, since an outage of all is
   * over for all at once, and costs users little if they find nobody meanwhile.
   */
  private void handleHealthCheck(Exchange exchange) {
    boolean cutOff = peers.cutOff() && stateUnreachableMs.getAsLong() > outageThresholdMs;
    boolean healthy = canTakeRequests.getAsBoolean() || !peers.anyServed() && !cutOff;
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
