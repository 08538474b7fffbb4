package dapplestair.state;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
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
  public record Read(boolean known, JsonNode value, long stamp) {
    /** True when the key exists. */
    public boolean exists() {
      return known && value != null;
    }
  }

  private static final int MOST_QUEUED = 2000;
  private static final int MOST_IN_FLIGHT = 6;
  // No answer is taken for lost within this part of the longest time that one may take.
  private static final int LEAST_TIMEOUT_PART = 15;
  // The leader writes attempts, the others only what users ask of them: shares of the limits.
  private static final double LEADER_SHARE = 0.6;
  // What the others leave unused is the leader's too, less what they may need before it hears.
  private static final double HELD_BACK = 0.1;
  private static final long USE_WINDOW_MS = 1000;
  private static final double SAFETY = 0.92;

  private record Queued(int size, Supplier<Txn> txn, long deadline, Consumer<Outcome> done) {}

  private final Clock clock;
  private final Timers timers;
  private final HttpCaller http;
  private final String endpoint;
  private final Settings.State limits;
  private final int controllers;
  private final long timeoutMs;
  private final AnswerTimeout answerTimeout;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final List<ArrayDeque<Queued>> queues =
      Arrays.stream(Priority.values()).map(p -> new ArrayDeque<Queued>()).toList();
  private final int[] puts = new int[Priority.values().length];
  private int inFlight;
  private int used;
  private long usedSince;
  private double usedBefore;
  private boolean pumping;
  private boolean reachable;
  private long unreachableSince;
  private long answeredAt = Long.MIN_VALUE / 2;

  /** Talks to the state service named in the settings. */
  public StateClient(Clock clock, Timers timers, HttpCaller http, Settings settings) {
    this.clock = clock;
    this.timers = timers;
    this.http = http;
    this.endpoint = settings.stateEndpoint();
    this.limits = settings.state();
    this.controllers = settings.controllers();
    this.timeoutMs = settings.workers().reportMs() / 2;
    this.answerTimeout = new AnswerTimeout(timeoutMs / LEAST_TIMEOUT_PART, timeoutMs);
    this.requests = new TokenBucket(clock, limits.rps() * SAFETY / controllers, 0.5);
    this.writes = new TokenBucket(clock, limits.writeRps() * SAFETY / controllers, 0.5);
    this.unreachableSince = clock.now();
  }

  /** Adjusts this controller's share of the limits. */
  public void leading(boolean leader) {
    double share =
        controllers == 1 ? 1 : leader ? LEADER_SHARE : (1 - LEADER_SHARE) / (controllers - 1);
    writes.rate(limits.writeRps() * SAFETY * share);
    requests.rate(limits.rps() * SAFETY * share);
  }

  /** A leader may use what its peers say they do not: {@code othersUse} is in puts a second. */
  public void othersUse(double othersUse) {
    double left = 1 - HELD_BACK - 1.3 * othersUse / limits.writeRps();
    writes.rate(limits.writeRps() * SAFETY * Math.max(controllers == 1 ? 1 : LEADER_SHARE, left));
  }

  /** Puts a second that this controller makes or would make if it could. */
  public double wanted() {
    long now = clock.now();
    if (now - usedSince > USE_WINDOW_MS) {
      usedBefore = 1000.0 * used / (now - usedSince);
      used = 0;
      usedSince = now;
    }
    return usedBefore + queued();
  }

  /** False from a refusal or silence until the next answer. */
  public boolean reachable() {
    return reachable;
  }

  /** How long it has not answered, 0 while it does. */
  public long unreachableMs() {
    return reachable ? 0 : clock.now() - unreachableSince;
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
  long spacingMs(double part) {
    return Math.round(1000 / Math.max(1, part * limits.rps() / controllers));
  }

  /** Puts sent since last asked, by priority. */
  public String putsSent() {
    StringBuilder out = new StringBuilder();
    for (Priority p : Priority.values()) {
      out.append(out.length() == 0 ? "" : ", ")
          .append(puts[p.ordinal()])
          .append(' ')
          .append(p.name().toLowerCase(Locale.ROOT));
    }
    Arrays.fill(puts, 0);
    return out.toString();
  }

  /** How many transactions of a priority wait. */
  public int queued(Priority priority) {
    return queues.get(priority.ordinal()).size();
  }

  /** Puts a second that this controller may make now. */
  public double putsAllowed() {
    return writes.rate();
  }

  /** How many transactions wait. */
  public int queued() {
    return queues.stream().mapToInt(ArrayDeque::size).sum();
  }

  /** Queues a transaction; it ends as refused when it could not be sent within {@code waitMs}. */
  public void commit(Txn txn, Priority priority, long waitMs, Consumer<Outcome> done) {
    commit(txn.size(), () -> txn, priority, waitMs, done);
  }

  /**
   * Queues a transaction of about {@code size} puts that is put together only when its turn has
   * come, so that it holds all that has changed until then; null when there is nothing left to
   * write, of which {@code done} does not hear.
   */
  public void commit(
      int size, Supplier<Txn> txn, Priority priority, long waitMs, Consumer<Outcome> done) {
    ArrayDeque<Queued> queue = queues.get(priority.ordinal());
    if (queue.size() >= MOST_QUEUED) {
      timers.after(0, () -> done.accept(new Outcome.Refused()));
      return;
    }
    queue.add(new Queued(size, txn, clock.now() + waitMs, done));
    pump();
  }

  private void pump() {
    if (pumping) {
      return;
    }
    for (ArrayDeque<Queued> queue : queues) {
      while (!queue.isEmpty()) {
        Queued q = queue.peek();
        if (clock.now() > q.deadline) {
          queue.poll();
          q.done.accept(new Outcome.Refused());
          continue;
        }
        if (inFlight >= MOST_IN_FLIGHT) {
          return;
        }
        long wait = Math.max(writes.waitMs(q.size), requests.waitMs(1));
        if (wait > 0) {
          pumping = true;
          timers.after(
              wait,
              () -> {
                pumping = false;
                pump();
              });
          return;
        }
        queue.poll();
        Txn txn = q.txn.get();
        if (txn != null) {
          writes.take(txn.size());
          used += txn.size();
          puts[queues.indexOf(queue)] += txn.size();
          requests.take(1);
          send(new Queued(txn.size(), () -> txn, q.deadline, q.done), queue, timeoutMs(queue));
        }
      }
    }
  }

  /**
   * A lost answer must hold neither one of the few places in flight nor whoever waits for it for
   * long: callers look again or repeat the transaction, whose conditions let one alone succeed. A
   * candidate that does not know of its win would have nobody lead for as long as its hold lasts.
   */
  private long timeoutMs(ArrayDeque<Queued> queue) {
    boolean election = queue == queues.get(Priority.ELECTION.ordinal());
    return election ? timeoutMs : answerTimeout.ms();
  }

  private void send(Queued q, ArrayDeque<Queued> queue, long answerWithinMs) {
    inFlight++;
    long sentAt = clock.now();
    http.call(
        endpoint,
        "POST",
        "/commit",
        q.txn.get().bytes(),
        answerWithinMs,
        reply -> {
          inFlight--;
          if (reply.status() == HttpReply.UNKNOWN) {
            answerTimeout.unanswered();
          } else if (reply.status() != HttpReply.NOT_SENT) {
            answerTimeout.answered(clock.now() - sentAt);
          }
          if (reply.status() == 429) {
            // Others used more than their share: not executed, so it may go again.
            writes.drain();
            queue.addFirst(q);
          } else {
            q.done.accept(outcome(note(reply)));
          }
          pump();
        });
  }

  private static Outcome outcome(HttpReply reply) {
    JsonNode body = Json.parse(reply.body());
    switch (reply.status()) {
      case 200:
        long epoch = Json.number(body, "epoch", -1);
        return epoch < 0 ? new Outcome.Unknown() : new Outcome.Applied(epoch);
      case 409:
        Set<String> failed = new HashSet<>();
        body.path("failed").forEach(k -> failed.add(k.asText()));
        return new Outcome.Conflict(failed);
      case 400:
        String error = Json.text(body, "error");
        if (error != null && error.contains("lease")) {
          return new Outcome.NoHold();
        }
        LOG.error("the state service calls a transaction malformed: {}", error);
        return new Outcome.Refused();
      case HttpReply.NOT_SENT, 503, 429:
        return new Outcome.Refused();
      default:
        return new Outcome.Unknown();
    }
  }

  /** Reads one key. */
  public void get(String key, Consumer<Read> done) {
    requests.take(1);
    http.call(
        endpoint,
        "GET",
        "/kv/" + key,
        null,
        timeoutMs,
        reply -> {
          JsonNode body = Json.parse(note(reply).body());
          if (reply.status() == 200 && body.has("value")) {
            done.accept(new Read(true, body.get("value"), Json.number(body, "stamp", 0)));
          } else {
            done.accept(new Read(reply.status() == 404 && body.has("epoch"), null, 0));
          }
        });
  }

  /** One page of keys; a missing node when it could not be read. */
  void list(String prefix, String from, Consumer<JsonNode> done) {
    list(prefix, from, 1000, done);
  }

  /** One page of at most {@code limit} keys; a missing node when it could not be read. */
  public void list(String prefix, String from, int limit, Consumer<JsonNode> done) {
    requests.take(1);
    String path =
        "/kv?prefix=" + prefix + (from == null ? "" : "&from=" + from) + "&limit=" + limit;
    http.call(endpoint, "GET", path, null, 2 * timeoutMs, reply -> done.accept(body(note(reply))));
  }

  /** Waits for changes; the whole reply, since 410 matters. */
  void changes(String prefix, long from, long blockMs, Consumer<HttpReply> done) {
    requests.take(1);
    http.call(
        endpoint,
        "GET",
        "/changes?prefix=" + prefix + "&from=" + from + "&blockMs=" + blockMs,
        null,
        blockMs + timeoutMs,
        reply -> done.accept(note(reply)));
  }

  /** Opens a hold; 0 when that failed. */
  public void hold(long ttlMs, Consumer<Long> done) {
    requests.take(1);
    byte[] body = Json.bytes(Json.object().put("ttlMs", ttlMs));
    http.call(
        endpoint,
        "POST",
        "/holds",
        body,
        timeoutMs,
        reply -> done.accept(Json.number(body(note(reply)), "hold", 0)));
  }

  /** Extends a hold; the status says what became of it. */
  public void extend(long hold, Consumer<Integer> done) {
    requests.take(1);
    http.call(
        endpoint,
        "POST",
        "/holds/" + hold + "/extend",
        null,
        timeoutMs,
        reply -> done.accept(note(reply).status()));
  }

  /** Ends a hold at once, if the request gets through. */
  public void endHold(long hold) {
    requests.take(1);
    http.call(endpoint, "DELETE", "/holds/" + hold, null, timeoutMs, this::note);
  }

  private static JsonNode body(HttpReply reply) {
    return Json.parse(reply.ok() ? reply.body() : new byte[0]);
  }

  private HttpReply note(HttpReply reply) {
    boolean answered = reply.status() >= 200 && reply.status() != 503;
    if (answered) {
      answeredAt = clock.now();
    } else if (reply.status() == HttpReply.UNKNOWN && clock.now() - answeredAt < timeoutMs) {
      // One answer was lost while others came: that is no outage.
      return reply;
    }
    if (reachable && !answered) {
      unreachableSince = clock.now();
      LOG.info("the state service does not serve us (status {})", reply.status());
    } else if (!reachable && answered) {
      LOG.info("the state service serves us again");
    }
    reachable = answered;
    return reply;
  }
}
