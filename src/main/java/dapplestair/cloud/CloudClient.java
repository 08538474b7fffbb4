package dapplestair.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.pause.PauseDetector;
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
 * Sends requests to the cloud within its call rate. Requests that end cancelled tasks go first,
 * then the leader's returns of machines, its rentals and its queries, and last the look-ups of
 * addresses.
 */
public final class CloudClient {
  private static final int MAX_QUEUED_REQUESTS = 64;
  private static final int MAX_LISTED_MACHINES = 500;
  private static final double CALL_RATE_SHARE = 0.9;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  /** The kinds of requests, in the order in which they are sent. */
  private enum RequestPriority {
    ENFORCEMENT,
    RETURNS,
    RENTALS,
    QUERIES,
    ADDRESS_LOOKUPS;

    /** Returns whether these requests make sense only while this controller leads. */
    boolean isLeaderOnly() {
      return this != ENFORCEMENT && this != ADDRESS_LOOKUPS;
    }
  }

  private record QueuedRequest(
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      BooleanSupplier isWanted,
      Consumer<HttpReply> done) {
    QueuedRequest(
        String method, String path, byte[] body, long timeoutMs, Consumer<HttpReply> done) {
      this(method, path, body, timeoutMs, () -> true, done);
    }
  }

  private final Timers timers;
  private final HttpCaller http;
  private final PauseDetector pauses;
  private final String endpoint;
  private final TokenBucket bucket;
  private final long timeoutMs;
  private final Map<RequestPriority, ArrayDeque<QueuedRequest>> queues =
      new EnumMap<>(RequestPriority.class);
  private boolean sendScheduled;

  /** Creates a client of the cloud that the settings name. */
  public CloudClient(
      Clock clock, Timers timers, HttpCaller http, PauseDetector pauses, Settings settings) {
    this.timers = timers;
    this.http = http;
    this.pauses = pauses;
    this.endpoint = settings.cloudEndpoint();
    this.bucket = new TokenBucket(clock, settings.cloud().rps() * CALL_RATE_SHARE, 1);
    this.timeoutMs = settings.workers().reportMs();
    for (RequestPriority priority : RequestPriority.values()) {
      queues.put(priority, new ArrayDeque<>());
    }
  }

  /** Requests the list of machine types. */
  public void listMachineTypes(Consumer<HttpReply> done) {
    enqueue(RequestPriority.QUERIES, getRequest("/machine_types", done));
  }

  /** Requests the page of machines after this name, or the first page if it is null. */
  public void listMachines(String afterName, Consumer<HttpReply> done) {
    enqueue(RequestPriority.QUERIES, getRequest(listingPath(afterName, MAX_LISTED_MACHINES), done));
  }

  /** Requests up to {@code maxMachines} machines after this name, whichever controller leads. */
  public void findMachines(String afterName, int maxMachines, Consumer<HttpReply> done) {
    enqueue(RequestPriority.ADDRESS_LOOKUPS, getRequest(listingPath(afterName, maxMachines), done));
  }

  private static String listingPath(String afterName, int limit) {
    return "/rentals?" + (afterName == null ? "" : "from=" + afterName + "&") + "limit=" + limit;
  }

  private QueuedRequest getRequest(String path, Consumer<HttpReply> done) {
    return new QueuedRequest("GET", path, null, timeoutMs, done);
  }

  /**
   * Rents machines if {@code isWanted} still holds when the request is about to be sent; otherwise
   * the cloud is not called, and the reply is null.
   */
  public void rent(
      String name,
      String type,
      boolean spot,
      String zone,
      int count,
      BooleanSupplier isWanted,
      Consumer<HttpReply> done) {
    ObjectNode body =
        Json.object()
            .put("rental", name)
            .put("hull", type)
            .put("basin", zone)
            .put("loaners", spot)
            .put("howMany", count);
    QueuedRequest request =
        new QueuedRequest("POST", "/rentals", Json.bytes(body), 2 * timeoutMs, isWanted, done);
    enqueue(RequestPriority.RENTALS, request);
  }

  /**
   * Gives machines back to the cloud; only for a leader. If this process pauses before the request
   * is sent, it is not sent, since the machines may serve another leader by then.
   */
  public void release(Collection<String> hosts, Consumer<HttpReply> done) {
    enqueue(RequestPriority.RETURNS, releaseRequest(hosts, done));
  }

  /** Gives machines with cancelled tasks back to the cloud, whichever controller leads. */
  public void enforceRelease(Collection<String> hosts, Consumer<HttpReply> done) {
    enqueue(RequestPriority.ENFORCEMENT, releaseRequest(hosts, done));
  }

  private QueuedRequest releaseRequest(Collection<String> hosts, Consumer<HttpReply> done) {
    ObjectNode body = Json.object();
    ArrayNode names = body.putArray("hosts");
    hosts.forEach(names::add);
    long pauseCount = pauses.pauseCount();
    return new QueuedRequest(
        "POST",
        "/rentals/release",
        Json.bytes(body),
        timeoutMs,
        () -> isDecidedSinceLastPause(pauseCount),
        reply -> done.accept(reply == null ? HttpReply.of(HttpReply.NOT_SENT) : reply));
  }

  private boolean isDecidedSinceLastPause(long pauseCountWhenDecided) {
    boolean isWanted = pauses.pauseCount() == pauseCountWhenDecided;
    if (!isWanted) {
      pauses.countHeldBack();
    }
    return isWanted;
  }

  /** Returns whether the cloud reports a lack of capacity, as opposed to a failure of its own. */
  public static boolean isOutOfCapacity(HttpReply reply) {
    JsonNode body = Json.parse(reply.body());
    String error = Json.text(body, "error");
    return reply.status() == UNAVAILABLE && error != null && error.contains("capacity");
  }

  private void enqueue(RequestPriority priority, QueuedRequest request) {
    if (queues.get(priority).size() >= MAX_QUEUED_REQUESTS) {
      timers.after(0, () -> request.done.accept(HttpReply.of(HttpReply.NOT_SENT)));
      return;
    }
    queues.get(priority).add(request);
    sendQueued();
  }

  private void sendQueued() {
    for (ArrayDeque<QueuedRequest> queue : queues.values()) {
      while (!queue.isEmpty()) {
        if (!queue.peek().isWanted.getAsBoolean()) {
          queue.poll().done.accept(null);
        } else if (bucket.take(1)) {
          send(queue.poll());
        } else {
          scheduleSend();
          return;
        }
      }
    }
  }

  private void scheduleSend() {
    if (sendScheduled) {
      return;
    }
    sendScheduled = true;
    timers.after(
        bucket.waitMs(1) + 1,
        () -> {
          sendScheduled = false;
          sendQueued();
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

  /** Drops the queued requests of a leader without a reply when this controller stops leading. */
  public void dropLeaderRequests() {
    queues.forEach(
        (priority, requests) -> {
          if (priority.isLeaderOnly()) {
            requests.clear();
          }
        });
  }
}
