package dapplestair.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import dapplestair.state.TokenBucket;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Requests to the cloud within its call rate. What ends cancelled tasks goes first, then a leader's
 * returns, its rentals and its questions, and last the look-ups of addresses.
 */
public final class CloudClient {
  private static final int MOST_QUEUED = 64;
  private static final int MOST_LISTED = 500;
  private static final double RATE_RATIO = 0.9;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  /** In the order in which their requests are sent. */
  private enum RequestPriority {
    ENFORCEMENT,
    RETURNS,
    RENTALS,
    QUESTIONS,
    ADDRESSES;

    /** True when its requests make sense only while this controller leads. */
    boolean leaderOnly() {
      return this != ENFORCEMENT && this != ADDRESSES;
    }
  }

  private record QueuedRequest(
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      BooleanSupplier wanted,
      Consumer<HttpReply> done) {
    QueuedRequest(
        String method, String path, byte[] body, long timeoutMs, Consumer<HttpReply> done) {
      this(method, path, body, timeoutMs, () -> true, done);
    }
  }

  private final Timers timers;
  private final HttpCaller http;
  private final String endpoint;
  private final TokenBucket bucket;
  private final long timeoutMs;
  private final Map<RequestPriority, ArrayDeque<QueuedRequest>> queues =
      new EnumMap<>(RequestPriority.class);
  private boolean waiting;

  /** A client of the cloud that the settings name. */
  public CloudClient(Clock clock, Timers timers, HttpCaller http, Settings settings) {
    this.timers = timers;
    this.http = http;
    this.endpoint = settings.cloudEndpoint();
    this.bucket = new TokenBucket(clock, settings.cloud().rps() * RATE_RATIO, 1);
    this.timeoutMs = settings.workers().reportMs();
    for (RequestPriority priority : RequestPriority.values()) {
      queues.put(priority, new ArrayDeque<>());
    }
  }

  /** Asks which machine types there are. */
  public void types(Consumer<HttpReply> done) {
    add(RequestPriority.QUESTIONS, get("/machine_types", done));
  }

  /** Asks for the next page of machines, after this name or from the beginning. */
  public void list(String from, Consumer<HttpReply> done) {
    add(RequestPriority.QUESTIONS, get(listing(from, MOST_LISTED), done));
  }

  /** Asks for a few machines that come after this name, whoever leads. */
  public void lookUp(String from, int most, Consumer<HttpReply> done) {
    add(RequestPriority.ADDRESSES, get(listing(from, most), done));
  }

  private static String listing(String from, int limit) {
    return "/rentals?" + (from == null ? "" : "from=" + from + "&") + "limit=" + limit;
  }

  private QueuedRequest get(String path, Consumer<HttpReply> done) {
    return new QueuedRequest("GET", path, null, timeoutMs, done);
  }

  /**
   * Rents, if that is still {@code wanted} when its turn comes; otherwise the cloud is not asked,
   * and the reply is null.
   */
  public void rent(
      String name,
      String type,
      boolean spot,
      String zone,
      int count,
      BooleanSupplier wanted,
      Consumer<HttpReply> done) {
    ObjectNode body =
        Json.object()
            .put("rental", name)
            .put("hull", type)
            .put("basin", zone)
            .put("loaners", spot)
            .put("howMany", count);
    QueuedRequest request =
        new QueuedRequest("POST", "/rentals", Json.bytes(body), 2 * timeoutMs, wanted, done);
    add(RequestPriority.RENTALS, request);
  }

  /** Returns machines, for a leader. */
  public void release(Collection<String> hosts, Consumer<HttpReply> done) {
    add(RequestPriority.RETURNS, releaseRequest(hosts, done));
  }

  /** Returns machines that hold cancelled tasks, whoever leads. */
  public void enforceRelease(Collection<String> hosts, Consumer<HttpReply> done) {
    add(RequestPriority.ENFORCEMENT, releaseRequest(hosts, done));
  }

  private QueuedRequest releaseRequest(Collection<String> hosts, Consumer<HttpReply> done) {
    ObjectNode body = Json.object();
    ArrayNode names = body.putArray("hosts");
    hosts.forEach(names::add);
    return new QueuedRequest("POST", "/rentals/release", Json.bytes(body), timeoutMs, done);
  }

  /** True when the cloud says that it has none left, as against being in trouble. */
  public static boolean noCapacity(HttpReply reply) {
    JsonNode body = Json.parse(reply.body());
    String error = Json.text(body, "error");
    return reply.status() == UNAVAILABLE && error != null && error.contains("capacity");
  }

  private void add(RequestPriority priority, QueuedRequest request) {
    if (queues.get(priority).size() >= MOST_QUEUED) {
      timers.after(0, () -> request.done.accept(HttpReply.of(HttpReply.NOT_SENT)));
      return;
    }
    queues.get(priority).add(request);
    pump();
  }

  private void pump() {
    for (ArrayDeque<QueuedRequest> queue : queues.values()) {
      while (!queue.isEmpty()) {
        if (!queue.peek().wanted.getAsBoolean()) {
          queue.poll().done.accept(null);
        } else if (bucket.take(1)) {
          send(queue.poll());
        } else {
          pumpLater();
          return;
        }
      }
    }
  }

  private void pumpLater() {
    if (waiting) {
      return;
    }
    waiting = true;
    timers.after(
        bucket.waitMs(1) + 1,
        () -> {
          waiting = false;
          pump();
        });
  }

  private void send(QueuedRequest request) {
    http.call(
        endpoint,
        request.method,
        request.path,
        request.body,
        request.timeoutMs,
        reply -> {
          if (reply.status() == TOO_MANY_REQUESTS) {
            bucket.drain();
          }
          request.done.accept(reply);
        });
  }

  /** This controller leads no more: drops what only a leader wants, without a reply. */
  public void clear() {
    queues.forEach(
        (queue, requests) -> {
          if (queue.leaderOnly()) {
            requests.clear();
          }
        });
  }
}
