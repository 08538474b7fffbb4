package dapplestair.state;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import dapplestair.state.StateClient.Priority;
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
 * Transactions in bounded queues by their priority, sent within this controller's share of the
 * limits. One whose answer does not come in the usual time is sent again: its conditions let one
 * copy alone succeed, and neither its caller nor those behind it wait for an answer that is lost.
 */
final class CommitQueue {
  private static final Logger LOG = LoggerFactory.getLogger(CommitQueue.class);

  /** Sends one transaction to the state service. */
  interface TxnSender {
    /** {@code done} gets the answer, or none within {@code timeoutMs}. */
    void post(byte[] transaction, long timeoutMs, Consumer<HttpReply> done);
  }

  private static final int MOST_QUEUED = 2000;
  private static final int MOST_IN_FLIGHT = 6;
  private static final long USE_WINDOW_MS = 1000;
  // No answer is taken for late within this part of the longest time that one may take.
  private static final int LEAST_TIMEOUT_PART = 15;
  // A late answer is listened for as long: what is on its way holds connections.
  private static final int LATE_TIMEOUTS = 4;

  private record QueuedTxn(
      int size, Supplier<Txn> txn, long deadline, boolean repeated, PendingCommit commit) {}

  private final Clock clock;
  private final Timers timers;
  private final TxnSender sender;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final long longestMs;
  private final ResponseTimeout responseTimeout;
  private final List<ArrayDeque<QueuedTxn>> queues =
      Arrays.stream(Priority.values()).map(p -> new ArrayDeque<QueuedTxn>()).toList();
  private final int[] puts = new int[Priority.values().length];
  private int inFlight;
  private int used;
  private long usedSince;
  private double usedBefore;
  private boolean pumping;

  /** Sends by {@code sender}; no answer is waited for longer than {@code longestMs}. */
  CommitQueue(
      Clock clock,
      Timers timers,
      TxnSender sender,
      TokenBucket requests,
      TokenBucket writes,
      long longestMs) {
    this.clock = clock;
    this.timers = timers;
    this.sender = sender;
    this.requests = requests;
    this.writes = writes;
    this.longestMs = longestMs;
    this.responseTimeout = new ResponseTimeout(longestMs / LEAST_TIMEOUT_PART, longestMs);
  }

  /** Puts a second that are made or would be made if they could. */
  double wanted() {
    long now = clock.now();
    if (now - usedSince > USE_WINDOW_MS) {
      usedBefore = 1000.0 * used / (now - usedSince);
      used = 0;
      usedSince = now;
    }
    return usedBefore + queued();
  }

  /** Puts sent since last asked, by priority. */
  String putsSent() {
    StringBuilder out = new StringBuilder();
    for (Priority priority : Priority.values()) {
      out.append(out.length() == 0 ? "" : ", ")
          .append(puts[priority.ordinal()])
          .append(' ')
          .append(priority.name().toLowerCase(Locale.ROOT));
    }
    Arrays.fill(puts, 0);
    return out.toString();
  }

  /** How many transactions of a priority wait. */
  int queued(Priority priority) {
    return queues.get(priority.ordinal()).size();
  }

  /** How many transactions wait. */
  int queued() {
    return queues.stream().mapToInt(ArrayDeque::size).sum();
  }

  /** Queues a transaction, as {@link StateClient#commit} says. */
  void add(int size, Supplier<Txn> txn, Priority priority, long waitMs, Consumer<TxnOutcome> done) {
    ArrayDeque<QueuedTxn> queue = queues.get(priority.ordinal());
    if (queue.size() >= MOST_QUEUED) {
      timers.after(0, () -> done.accept(new TxnOutcome.Refused()));
      return;
    }
    queue.add(new QueuedTxn(size, txn, clock.now() + waitMs, false, new PendingCommit(done)));
    pump();
  }

  private void pump() {
    if (pumping) {
      return;
    }
    for (Priority priority : Priority.values()) {
      ArrayDeque<QueuedTxn> queue = queues.get(priority.ordinal());
      while (!queue.isEmpty()) {
        QueuedTxn queued = queue.peek();
        if (queued.commit.settled()) {
          queue.poll();
          continue;
        }
        if (clock.now() > queued.deadline) {
          queue.poll();
          queued.commit.notSent();
          continue;
        }
        if (inFlight >= MOST_IN_FLIGHT) {
          return;
        }
        long wait = Math.max(writes.waitMs(queued.size), requests.waitMs(1));
        if (wait > 0) {
          pumpLater(wait);
          return;
        }
        queue.poll();
        Txn txn = queued.txn.get();
        if (txn != null) {
          count(txn, priority);
          QueuedTxn built =
              new QueuedTxn(txn.size(), () -> txn, queued.deadline, queued.repeated, queued.commit);
          send(built, txn, priority);
        }
      }
    }
  }

  private void pumpLater(long waitMs) {
    pumping = true;
    timers.after(
        waitMs,
        () -> {
          pumping = false;
          pump();
        });
  }

  private void count(Txn txn, Priority priority) {
    writes.take(txn.size());
    requests.take(1);
    used += txn.size();
    puts[priority.ordinal()] += txn.size();
  }

  /** One copy on its way: it holds a place in flight until it is answered or late. */
  private final class Copy {
    private final QueuedTxn queued;
    private final Priority priority;
    private final long sentAt = clock.now();
    private Cancellable timer = () -> {};
    private boolean late;

    Copy(QueuedTxn queued, Priority priority) {
      this.queued = queued;
      this.priority = priority;
    }

    void late(long repeatUntil) {
      late = true;
      inFlight--;
      responseTimeout.unanswered();
      if (queued.commit.repeatable()) {
        queued.commit.repeat();
        queues
            .get(priority.ordinal())
            .addFirst(new QueuedTxn(queued.size, queued.txn, repeatUntil, true, queued.commit));
      }
      pump();
    }

    void answered(HttpReply reply) {
      timer.cancel();
      if (!late) {
        inFlight--;
      }
      boolean heard = reply.status() != HttpReply.UNKNOWN && reply.status() != HttpReply.NOT_SENT;
      if (heard) {
        responseTimeout.answered(clock.now() - sentAt);
      }
      if (reply.status() == 429 && !late) {
        // Others used more than their share: not executed, so it may go again.
        writes.drain();
        queued.commit.repeat();
        queues.get(priority.ordinal()).addFirst(queued);
        queued.commit.unsent();
      } else {
        queued.commit.answered(outcome(reply));
      }
      pump();
    }
  }

  private void send(QueuedTxn queued, Txn txn, Priority priority) {
    inFlight++;
    queued.commit.sent();
    Copy copy = new Copy(queued, priority);
    // A candidate that does not know of its win would have nobody lead for as long as its hold
    // lasts, and no copy of it can be refused by another one: it waits for its answer.
    boolean waits = priority == Priority.ELECTION;
    long lateMs = responseTimeout.ms();
    long repeatUntil = queued.repeated ? queued.deadline : clock.now() + longestMs;
    if (!waits && lateMs < longestMs) {
      copy.timer = timers.after(lateMs, () -> copy.late(repeatUntil));
    }
    long timeoutMs = waits ? longestMs : Math.min(longestMs, LATE_TIMEOUTS * lateMs);
    sender.post(txn.bytes(), timeoutMs, copy::answered);
  }

  private static TxnOutcome outcome(HttpReply reply) {
    JsonNode body = Json.parse(reply.body());
    switch (reply.status()) {
      case 200:
        long epoch = Json.number(body, "epoch", -1);
        return epoch < 0 ? new TxnOutcome.Unknown() : new TxnOutcome.Applied(epoch);
      case 409:
        Set<String> failed = new HashSet<>();
        body.path("failed").forEach(k -> failed.add(k.asText()));
        return new TxnOutcome.Conflict(failed);
      case 400:
        String error = Json.text(body, "error");
        if (error != null && error.contains("lease")) {
          return new TxnOutcome.NoHold();
        }
        LOG.error("the state service calls a transaction malformed: {}", error);
        return new TxnOutcome.Refused();
      case HttpReply.NOT_SENT, 503, 429:
        return new TxnOutcome.Refused();
      default:
        return new TxnOutcome.Unknown();
    }
  }
}
