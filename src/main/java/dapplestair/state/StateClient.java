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
 * Sends requests to the state service within this controller's share of its limits. Transactions
 * wait in bounded queues, one per priority.
 */
public final class StateClient {
  private static final Logger LOG = LoggerFactory.getLogger(StateClient.class);

  /** Order in which queued transactions are sent, the most urgent first. */
  public enum Priority {
    /** Campaigns for the lead, since all other work waits for a leader. */
    ELECTION,
    /** Records of rentals: few writes, and all else waits for the machines that they bring. */
    FLEET,
    /** Writes for which a user waits. */
    USER,
    /** Writes for which service replicas wait. */
    REPLICA,
    /** Writes for which tasks wait, such as launches. */
    LAUNCH,
    /** Ends of jobs, of which users wait to be told. */
    FINISH,
    /** Writes for which nobody waits; their callers limit the rate. */
    BOOKKEEPING,
    /** Ends of jobs of the lowest rank: their users may wait while the puts of others are made. */
    FINISH_LOW
  }

  /** Result of a read; {@code known} is false when the key could not be read. */
  public record ReadResult(boolean known, JsonNode value, long stamp) {
    /** Returns whether the key is known to exist. */
    public boolean exists() {
      return known && value != null;
    }
  }

  // The leader's share of the limits: it writes attempts, while the other controllers write only
  // what users request of them.
  private static final double LEADER_SHARE = 0.6;
  // The leader may also use what the other controllers leave unused, less this share: they may need
  // it before the leader learns of their higher demand.
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

  /** Creates a client of the state service named in the settings. */
  public StateClient(Clock clock, Timers timers, HttpCaller http, Settings settings) {
    this.clock = clock;
    this.http = http;
    this.endpoint = settings.stateEndpoint();
    this.limits = settings.state();
    this.controllers = settings.controllerCount();
    this.timeoutMs = settings.workers().reportMs() / 2;
    this.requestBucket = new TokenBucket(clock, limits.rps() * SAFETY_FACTOR / controllers, 0.5);
    this.writeBucket = new TokenBucket(clock, limits.writeRps() * SAFETY_FACTOR / controllers, 0.5);
    this.commits =
        new CommitQueue(clock, timers, this::post, requestBucket, writeBucket, timeoutMs);
    this.unreachableSinceMs = clock.now();
  }

  /** Sets this controller's share of the limits to that of the leader or of another controller. */
  public void setLeading(boolean isLeader) {
    double share =
        controllers == 1 ? 1 : isLeader ? LEADER_SHARE : (1 - LEADER_SHARE) / (controllers - 1);
    writeBucket.setRate(limits.writeRps() * SAFETY_FACTOR * share);
    requestBucket.setRate(limits.rps() * SAFETY_FACTOR * share);
  }

  /**
   * Sets a leader's write rate to what the other controllers leave unused, but at least its share.
   *
   * @param peerPutsPerSecond the demand that the other controllers report, in puts per second
   */
  public void setPeerDemand(double peerPutsPerSecond) {
    double availableShare = 1 - RESERVED_SHARE - 1.3 * peerPutsPerSecond / limits.writeRps();
    writeBucket.setRate(
        limits.writeRps()
            * SAFETY_FACTOR
            * Math.max(controllers == 1 ? 1 : LEADER_SHARE, availableShare));
  }

  /** Returns whether the state service served the last request; a lone lost reply is ignored. */
  public boolean isReachable() {
    return reachable;
  }

  /** Returns how long the state service has not answered, or 0 while it answers. */
  public long unreachableMs() {
    return reachable ? 0 : clock.now() - unreachableSinceMs;
  }

  /** Returns the time of this client's steady clock, in milliseconds. */
  long now() {
    return clock.now();
  }

  /** Returns how long requests may take before they count as unanswered. */
  public long timeoutMs() {
    return timeoutMs;
  }

  /**
   * Returns the pause between repeated requests that may use the given fraction of one controller's
   * equal share of the request limit. Without it, hundreds of polls and changes per second would
   * use up the requests that launches need.
   */
  long repeatIntervalMs(double shareFraction) {
    return Math.round(1000 / Math.max(1, shareFraction * limits.rps() / controllers));
  }

  /** Returns the demand in puts per second: those sent lately, plus the queued transactions. */
  public double demandPutsPerSecond() {
    return commits.demandPutsPerSecond();
  }

  /** Returns the puts sent since the last call, by priority, and resets the counts. */
  public String takePutCounts() {
    return commits.takePutCounts();
  }

  /** Returns the number of transactions of a priority that are queued. */
  public int queuedCount(Priority priority) {
    return commits.queued(priority);
  }

  /** Returns the puts per second that this controller may make now. */
  public double maxPutsPerSecond() {
    return writeBucket.ratePerSecond();
  }

  /** Returns the number of transactions that are queued. */
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
   * Queues a transaction of about {@code size} puts that is built only when it is about to be sent,
   * so that it includes all changes up to then. When {@code txn} returns null, there is nothing
   * left to write, and {@code done} is not called.
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

  /** Reads one page of keys; {@code done} gets a missing node when that failed. */
  void list(String prefix, String fromKey, Consumer<JsonNode> done) {
    list(prefix, fromKey, 1000, done);
  }

  /** Reads at most {@code limit} keys; {@code done} gets a missing node when that failed. */
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

  /** Waits for changes; {@code done} gets the whole reply, since 410 means a lost stream. */
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

  /** Opens a hold; {@code done} gets its number, or 0 when that failed. */
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

  /** Extends a hold; {@code done} gets the status of the reply. */
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
      // One response was lost while others arrived within the timeout: that is not an outage.
      return reply;
    }
    if (reachable && !served) {
      unreachableSinceMs = clock.now();
      LOG.info("the state service does not serve this controller (last status {})", reply.status());
    } else if (!reachable && served) {
      LOG.info("the state service serves this controller again");
    }
    reachable = served;
    return reply;
  }
}
