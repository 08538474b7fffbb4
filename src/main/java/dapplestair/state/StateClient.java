package dapplestair.state;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests to the state service within this controller's share of its limits. Transactions wait in
 * bounded queues by their priority.
 */
public final class StateClient {
  private static final Logger LOG = LoggerFactory.getLogger(StateClient.class);

  /** Which transactions go first. */
  public enum Priority {
    /** Somebody wants to lead, and everything else waits for a leader. */
    ELECTION,
    /** Few, and everything else waits for the machines they bring. */
    FLEET,
    /** A user waits for it. */
    USER,
    /** Replicas wait for it. */
    REPLICA,
    /** A task waits for it. */
    LAUNCH,
    /** Somebody waits to hear that all is done. */
    FINISH,
    /** Nobody waits for it, and it is paced by whoever asks. */
    BOOKKEEPING,
    /** A job of the lowest rank is done: its user may wait while others' puts are made. */
    FINISH_LOW
  }

  /** What a read found: {@code known} false when it could not be read. */
  public record ReadResult(boolean known, JsonNode value, long stamp) {
    /** True when the key exists. */
    public boolean exists() {
      return known && value != null;
    }
  }

  // The leader writes attempts, the others only what users ask of them: shares of the limits.
  private static final double LEADER_SHARE = 0.6;
  // What the others leave unused is the leader's too, less what they may need before it hears.
  private static final double RESERVED_SHARE = 0.1;
  private static final double SAFETY_FACTOR = 0.92;

  private final Clock clock;
  private final HttpCaller http;
  private final String endpoint;
  private final Settings.State limits;
  private final int controllers;
  private final long timeoutMs;
  private final TokenBucket requestBucket;
  private final TokenBucket writeBucket;
  private final CommitQueue commits;
  private boolean reachable;
  private long unreachableSinceMs;
  private long lastResponseAtMs = Long.MIN_VALUE / 2;

  /** Talks to the state service named in the settings. */
  public StateClient(Clock clock, Timers timers, HttpCaller http, Settings settings) {
    this.clock = clock;
    this.http = http;
    this.endpoint = settings.stateEndpoint();
    this.limits = settings.state();
    this.controllers = settings.controllers();
    this.timeoutMs = settings.workers().reportMs() / 2;
    this.requestBucket = new TokenBucket(clock, limits.rps() * SAFETY_FACTOR / controllers, 0.5);
    this.writeBucket = new TokenBucket(clock, limits.writeRps() * SAFETY_FACTOR / controllers, 0.5);
    this.commits =
        new CommitQueue(clock, timers, this::post, requestBucket, writeBucket, timeoutMs);
    this.unreachableSinceMs = clock.now();
  }

  /** Adjusts this controller's share of the limits. */
  public void setLeading(boolean isLeader) {
    double share =
        controllers == 1 ? 1 : isLeader ? LEADER_SHARE : (1 - LEADER_SHARE) / (controllers - 1);
    writeBucket.setRate(limits.writeRps() * SAFETY_FACTOR * share);
    requestBucket.setRate(limits.rps() * SAFETY_FACTOR * share);
  }

  /** A leader may use what its peers say they do not: {@code setPeerDemand} is in puts a second. */
  public void setPeerDemand(double peerPutsPerSecond) {
    double availableShare = 1 - RESERVED_SHARE - 1.3 * peerPutsPerSecond / limits.writeRps();
    writeBucket.setRate(
        limits.writeRps()
            * SAFETY_FACTOR
            * Math.max(controllers == 1 ? 1 : LEADER_SHARE, availableShare));
  }

  /** False from a refusal or silence until the next answer. */
  public boolean isReachable() {
    return reachable;
  }

  /** How long it has not answered, 0 while it does. */
  public long unreachableMs() {
    return reachable ? 0 : clock.now() - unreachableSinceMs;
  }

  /** Steady time, as this client counts it. */
  long now() {
    return clock.now();
  }

  /** How long requests may take before they count as unanswered. */
  public long timeoutMs() {
    return timeoutMs;
  }

  /**
   * Pause between repeated requests that may take this part of a controller's share of the limit:
   * hundreds of polls and changes a second must not use up what launches need.
   */
  long repeatIntervalMs(double shareFraction) {
    return Math.round(1000 / Math.max(1, shareFraction * limits.rps() / controllers));
  }

  /** Puts a second that this controller makes or would make if it could. */
  public double demandPutsPerSecond() {
    return commits.demandPutsPerSecond();
  }

  /** Puts sent since last asked, by priority. */
  public String takePutCounts() {
    return commits.takePutCounts();
  }

  /** How many transactions of a priority wait. */
  public int queuedCount(Priority priority) {
    return commits.queued(priority);
  }

  /** Puts a second that this controller may make now. */
  public double maxPutsPerSecond() {
    return writeBucket.ratePerSecond();
  }

  /** How many transactions wait. */
  public int queuedCount() {
    return commits.queued();
  }

  /**
   * Queues a transaction; it ends as refused when it could not be sent within {@code maxWaitMs}.
   */
  public void commit(Txn txn, Priority priority, long maxWaitMs, Consumer<TxnOutcome> done) {
    commit(txn.size(), () -> txn, priority, maxWaitMs, done);
  }

  /**
   * Queues a transaction of about {@code size} puts that is put together only when its turn has
   * come, so that it holds all that has changed until then; null when there is nothing left to
   * write, of which {@code done} does not hear.
   */
  public void commit(
      int size, Supplier<Txn> txn, Priority priority, long maxWaitMs, Consumer<TxnOutcome> done) {
    commits.add(size, txn, priority, maxWaitMs, done);
  }

  private void post(byte[] transaction, long postTimeoutMs, Consumer<HttpReply> done) {
    http.call(
        endpoint,
        "POST",
        "/commit",
        transaction,
        postTimeoutMs,
        reply -> done.accept(updateReachability(reply)));
  }

  /** Reads one key. */
  public void get(String key, Consumer<ReadResult> done) {
    requestBucket.take(1);
    http.call(
        endpoint,
        "GET",
        "/kv/" + key,
        null,
        timeoutMs,
        reply -> {
          JsonNode body = Json.parse(updateReachability(reply).body());
          if (reply.status() == 200 && body.has("value")) {
            done.accept(new ReadResult(true, body.get("value"), Json.number(body, "stamp", 0)));
          } else {
            done.accept(new ReadResult(reply.status() == 404 && body.has("epoch"), null, 0));
          }
        });
  }

  /** One page of keys; a missing node when it could not be read. */
  void list(String prefix, String fromKey, Consumer<JsonNode> done) {
    list(prefix, fromKey, 1000, done);
  }

  /** One page of at most {@code limit} keys; a missing node when it could not be read. */
  public void list(String prefix, String fromKey, int limit, Consumer<JsonNode> done) {
    requestBucket.take(1);
    String path =
        "/kv?prefix=" + prefix + (fromKey == null ? "" : "&from=" + fromKey) + "&limit=" + limit;
    http.call(
        endpoint,
        "GET",
        path,
        null,
        2 * timeoutMs,
        reply -> done.accept(parseBody(updateReachability(reply))));
  }

  /** Waits for changes; the whole reply, since 410 matters. */
  void fetchChanges(String prefix, long fromEpoch, long blockMs, Consumer<HttpReply> done) {
    requestBucket.take(1);
    http.call(
        endpoint,
        "GET",
        "/changes?prefix=" + prefix + "&from=" + fromEpoch + "&blockMs=" + blockMs,
        null,
        blockMs + timeoutMs,
        reply -> done.accept(updateReachability(reply)));
  }

  /** Opens a hold; 0 when that failed. */
  public void openHold(long ttlMs, Consumer<Long> done) {
    requestBucket.take(1);
    byte[] body = Json.bytes(Json.object().put("ttlMs", ttlMs));
    http.call(
        endpoint,
        "POST",
        "/holds",
        body,
        timeoutMs,
        reply -> done.accept(Json.number(parseBody(updateReachability(reply)), "hold", 0)));
  }

  /** Extends a hold; the status says what became of it. */
  public void extendHold(long hold, Consumer<Integer> done) {
    requestBucket.take(1);
    http.call(
        endpoint,
        "POST",
        "/holds/" + hold + "/extend",
        null,
        timeoutMs,
        reply -> done.accept(updateReachability(reply).status()));
  }

  /** Ends a hold at once, if the request gets through. */
  public void endHold(long hold) {
    requestBucket.take(1);
    http.call(endpoint, "DELETE", "/holds/" + hold, null, timeoutMs, this::updateReachability);
  }

  private static JsonNode parseBody(HttpReply reply) {
    return Json.parse(reply.ok() ? reply.body() : new byte[0]);
  }

  private HttpReply updateReachability(HttpReply reply) {
    boolean served = reply.status() >= 200 && reply.status() != 503;
    if (served) {
      lastResponseAtMs = clock.now();
    } else if (reply.status() == HttpReply.UNKNOWN && clock.now() - lastResponseAtMs < timeoutMs) {
      // One answer was lost while others came: that is no outage.
      return reply;
    }
    if (reachable && !served) {
      unreachableSinceMs = clock.now();
      LOG.info("the state service does not serve us (status {})", reply.status());
    } else if (!reachable && served) {
      LOG.info("the state service serves us again");
    }
    reachable = served;
    return reply;
  }
}
