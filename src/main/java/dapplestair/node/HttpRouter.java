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
  private final BooleanSupplier able;
  private final Peers peers;
  private final LongSupplier unreachableMs;
  private final long doubtfulMs;

  /**
   * {@code able} says whether this controller can take requests now, {@code unreachableMs} for how
   * long the state service has not answered; from {@code doubtfulMs} on it is no passing trouble.
   */
  HttpRouter(
      WorkerManager workers,
      SubmissionHandler submissions,
      BooleanSupplier able,
      Peers peers,
      LongSupplier unreachableMs,
      long doubtfulMs) {
    this.workers = workers;
    this.submissions = submissions;
    this.able = able;
    this.peers = peers;
    this.unreachableMs = unreachableMs;
    this.doubtfulMs = doubtfulMs;
  }

  /** Answers a request of a user, a worker or a health check. */
  void handle(Exchange exchange) {
    String path = exchange.path();
    if (path.equals("/agent/beat")) {
      if (method(exchange, "POST")) {
        workers.beat(exchange);
      }
    } else if (path.equals("/up")) {
      if (method(exchange, "GET")) {
        up(exchange);
      }
    } else {
      handleUser(exchange);
    }
  }

  /** Answers a request of a user, also one that a peer passed on. */
  void handleUser(Exchange exchange) {
    String path = exchange.path();
    if (path.equals(SUBMISSIONS)) {
      if (method(exchange, "POST")) {
        submissions.submit(exchange);
      }
    } else if (path.startsWith(SUBMISSIONS + "/")) {
      oneSubmission(exchange, path.substring(SUBMISSIONS.length() + 1));
    } else {
      error(exchange, 404, "no such path");
    }
  }

  private void oneSubmission(Exchange exchange, String rest) {
    int slash = rest.indexOf('/');
    if (slash < 0) {
      if (method(exchange, "GET")) {
        submissions.poll(exchange, rest);
      }
    } else if (rest.substring(slash).equals("/withdraw")) {
      if (method(exchange, "POST")) {
        submissions.cancel(exchange, rest.substring(0, slash));
      }
    } else {
      error(exchange, 404, "no such path");
    }
  }

  /**
   * Unhealthy only while another controller can do better: in an outage of all, users are told when
   * to come back instead of finding nobody. Whoever is served neither by the state service nor by
   * any peer cannot know; it takes itself for the one that is cut off, since an outage of all is
   * over for all at once, and costs users little if they find nobody meanwhile.
   */
  private void up(Exchange exchange) {
    boolean cutOff = peers.isCutOff() && unreachableMs.getAsLong() > doubtfulMs;
    boolean healthy = able.getAsBoolean() || !peers.hasReadyPeer() && !cutOff;
    exchange.reply(healthy ? 200 : 503, Json.bytes(Json.object().put("up", healthy)), 0);
  }

  private static boolean method(Exchange exchange, String wanted) {
    if (exchange.method().equals(wanted)) {
      return true;
    }
    error(exchange, 405, "use " + wanted);
    return false;
  }

  private static void error(Exchange exchange, int status, String why) {
    exchange.reply(status, Json.bytes(Json.object().put("error", why)), 0);
  }
}
