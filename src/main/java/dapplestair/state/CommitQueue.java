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
 * Queues transactions by priority, in bounded queues, and sends them within this controller's share
 * of the limits. A transaction that is not answered in the usual time is sent again, so that
 * neither its caller nor the transactions queued behind it wait for a lost response. Its conditions
 * let only one copy succeed.
 */
final class CommitQueue {
  private static final Logger LOG = LoggerFactory.getLogger(CommitQueue.class);

  /** Sends one transaction to the state service. */
  interface TxnSender {
    /** Sends a transaction; {@code done} gets the reply, or an unknown one after the timeout. */
    void post(byte[] transaction, long timeoutMs, Consumer<HttpReply> done);
  }

  private static final int MAX_QUEUED_PER_PRIORITY = 2000;
  private static final int MAX_IN_FLIGHT = 6;
  private static final long RATE_WINDOW_MS = 1000;
  // A response is never considered late before maxTimeoutMs divided by this.
  private static final int MIN_TIMEOUT_DIVISOR = 15;
  // A late response is awaited for this many response timeouts, and no longer, since each pending
  // request occupies a connection.
  private static final int MAX_WAIT_TIMEOUTS = 4;

  private record QueuedTxn(
      int size, Supplier<Txn> txn, long deadlineMs, boolean resent, PendingCommit commit) {}

  private final Clock clock;
  private final Timers timers;
  private final TxnSender sender;
  private final TokenBucket requestBucket;
  private final TokenBucket writeBucket;
  private final long maxTimeoutMs;
  private final ResponseTimeout responseTimeout;
  private final List<ArrayDeque<QueuedTxn>> queues =
      Arrays.stream(Priority.values()).map(p -> new ArrayDeque<QueuedTxn>()).toList();
  private final int[] putsByPriority = new int[Priority.values().length];
  private int inFlight;
  private int putsInWindow;
  private long windowStartMs;
  private double previousPutsPerSecond;
  private boolean sendScheduled;

  /** Creates a queue that sends by {@code sender} and awaits no response beyond the maximum. */
  CommitQueue(
      Clock clock,
      Timers timers,
      TxnSender sender,
      TokenBucket requestBucket,
      TokenBucket writeBucket,
      long maxTimeoutMs) {
    this.clock = clock;
    this.timers = timers;
    this.sender = sender;
    this.requestBucket = requestBucket;
    this.writeBucket = writeBucket;
    this.maxTimeoutMs = maxTimeoutMs;
    this.responseTimeout = new ResponseTimeout(maxTimeoutMs / MIN_TIMEOUT_DIVISOR, maxTimeoutMs);
  }

  /** Returns the demand in puts per second: those sent lately, plus the queued transactions. */
  double demandPutsPerSecond() {
    long now = clock.now();
    if (now - windowStartMs > RATE_WINDOW_MS) {
      previousPutsPerSecond = 1000.0 * putsInWindow / (now - windowStartMs);
      putsInWindow = 0;
      windowStartMs = now;
    }
    return previousPutsPerSecond + queued();
  }

  /** Returns the puts sent since the last call, by priority, and resets the counts. */
  String takePutCounts() {
    StringBuilder counts = new StringBuilder();
    for (Priority priority : Priority.values()) {
      counts
          .append(counts.length() == 0 ? "" : ", ")
          .append(putsByPriority[priority.ordinal()])
          .append(' ')
          .append(priority.name().toLowerCase(Locale.ROOT));
    }
    Arrays.fill(putsByPriority, 0);
    return counts.toString();
  }

  /** Returns the number of transactions of a priority that are queued. */
  int queued(Priority priority) {
    return queues.get(priority.ordinal()).size();
  }

  /** Returns the number of transactions that are queued. */
  int queued() {
    return queues.stream().mapToInt(ArrayDeque::size).sum();
  }

  /** Queues a transaction as specified by {@link StateClient#commit}. */
  void add(
      int size, Supplier<Txn> txn, Priority priority, long maxWaitMs, Consumer<TxnOutcome> done) {
    ArrayDeque<QueuedTxn> queue = queues.get(priority.ordinal());
    if (queue.size() >= MAX_QUEUED_PER_PRIORITY) {
      timers.after(0, () -> done.accept(new TxnOutcome.Refused()));
      return;
    }
    queue.add(new QueuedTxn(size, txn, clock.now() + maxWaitMs, false, new PendingCommit(done)));
    sendQueued();
  }

  private void sendQueued() {
    if (sendScheduled) {
      return;
    }
    for (Priority priority : Priority.values()) {
      ArrayDeque<QueuedTxn> queue = queues.get(priority.ordinal());
      while (!queue.isEmpty()) {
        QueuedTxn queued = queue.peek();
        if (queued.commit.isSettled()) {
          queue.poll();
          continue;
        }
        if (clock.now() > queued.deadlineMs) {
          queue.poll();
          queued.commit.queuedCopyExpired();
          continue;
        }
        if (inFlight >= MAX_IN_FLIGHT) {
          return;
        }
        long delayMs = Math.max(writeBucket.waitMs(queued.size), requestBucket.waitMs(1));
        if (delayMs > 0) {
          sendQueuedLater(delayMs);
          return;
        }
        queue.poll();
        Txn txn = queued.txn.get();
        if (txn != null) {
          countSent(txn, priority);
          QueuedTxn builtTxn =
              new QueuedTxn(txn.size(), () -> txn, queued.deadlineMs, queued.resent, queued.commit);
          send(builtTxn, txn, priority);
        }
      }
    }
  }

  private void sendQueuedLater(long delayMs) {
    sendScheduled = true;
    timers.after(
        delayMs,
        () -> {
          sendScheduled = false;
          sendQueued();
        });
  }

  private void countSent(Txn txn, Priority priority) {
    writeBucket.take(txn.size());
    requestBucket.take(1);
    putsInWindow += txn.size();
    putsByPriority[priority.ordinal()] += txn.size();
  }

  /** A copy that was sent: it counts as in flight until it is answered or late. */
  private final class SentCopy {
    private final QueuedTxn queued;
    private final Priority priority;
    private final long sentAtMs = clock.now();
    private Cancellable resendTimer = () -> {};
    private boolean late;

    SentCopy(QueuedTxn queued, Priority priority) {
      this.queued = queued;
      this.priority = priority;
    }

    void onTimeout(long resendUntilMs) {
      late = true;
      inFlight--;
      responseTimeout.recordTimeout();
      if (queued.commit.mayResend()) {
        queued.commit.queueResend();
        queues
            .get(priority.ordinal())
            .addFirst(new QueuedTxn(queued.size, queued.txn, resendUntilMs, true, queued.commit));
      }
      sendQueued();
    }

    void onReply(HttpReply reply) {
      resendTimer.cancel();
      if (!late) {
        inFlight--;
      }
      boolean hasResponse =
          reply.status() != HttpReply.UNKNOWN && reply.status() != HttpReply.NOT_SENT;
      if (hasResponse) {
        responseTimeout.recordResponse(clock.now() - sentAtMs);
      }
      if (reply.status() == 429 && !late) {
        // Other controllers used more than their share. This copy was not executed, so that it may
        // be sent again.
        writeBucket.drain();
        queued.commit.queueResend();
        queues.get(priority.ordinal()).addFirst(queued);
        queued.commit.copyRejected();
      } else {
        queued.commit.copyEnded(outcome(reply));
      }
      sendQueued();
    }
  }

  private void send(QueuedTxn queued, Txn txn, Priority priority) {
    inFlight++;
    queued.commit.copySent();
    SentCopy copy = new SentCopy(queued, priority);
    // An election transaction is not sent again when its response is late, so that no copy can be
    // refused because of another one. Its response is awaited for the maximum time: a candidate
    // that does not learn of its win leaves the cluster without a leader until its hold ends.
    boolean waitsForReply = priority == Priority.ELECTION;
    long resendAfterMs = responseTimeout.timeoutMs();
    long resendUntilMs = queued.resent ? queued.deadlineMs : clock.now() + maxTimeoutMs;
    if (!waitsForReply && resendAfterMs < maxTimeoutMs) {
      copy.resendTimer = timers.after(resendAfterMs, () -> copy.onTimeout(resendUntilMs));
    }
    long timeoutMs =
        waitsForReply ? maxTimeoutMs : Math.min(maxTimeoutMs, MAX_WAIT_TIMEOUTS * resendAfterMs);
    sender.post(txn.toBytes(), timeoutMs, copy::onReply);
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
        LOG.error("the state service rejected a transaction as malformed: {}", error);
        return new TxnOutcome.Refused();
      case HttpReply.NOT_SENT, 503, 429:
        return new TxnOutcome.Refused();
      default:
        return new TxnOutcome.Unknown();
    }
  }
}
