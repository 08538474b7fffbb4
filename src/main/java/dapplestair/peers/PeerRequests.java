package dapplestair.peers;

import dapplestair.ports.Cancellable;
import dapplestair.ports.PeerNetwork;
import dapplestair.ports.Timers;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests between controllers, each of which is answered or times out. The links carry no process
 * identity: an answer to a request of an earlier process of this controller may arrive here, and is
 * refused by its number.
 */
public final class PeerRequests {
  private static final Logger LOG = LoggerFactory.getLogger(PeerRequests.class);

  // Leaves 1 KiB of the frame for everything besides the body.
  private static final int MAX_BODY_BYTES = PeerCodec.MAX_FRAME_BYTES - 1024;
  private static final int MAX_PENDING_REQUESTS = 128;

  /** Answers to an earlier process arrive together, so one log line reports all of this period. */
  private static final long FOREIGN_ANSWERS_LOG_DELAY_MS = 1000;

  private record PendingRequest(String member, Consumer<byte[]> done, Cancellable timer) {}

  private final Timers timers;
  private final PeerNetwork network;
  private final RequestNumbers numbers;
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private final Map<String, BiConsumer<byte[], Consumer<byte[]>>> handlers =
      new Object2ObjectOpenHashMap<>();
  private final Map<String, BiConsumer<String, byte[]>> listeners = new HashMap<>();
  private long refusedMessages;
  private long lateAnswers;
  private long foreignAnswers;
  private long loggedForeignAnswers;

  PeerRequests(Timers timers, PeerNetwork network, Incarnation incarnation) {
    this.timers = timers;
    this.network = network;
    this.numbers = new RequestNumbers(incarnation);
  }

  /** Sets the handler of requests on a topic; the handler may answer later. */
  public void handle(String topic, BiConsumer<byte[], Consumer<byte[]>> handler) {
    handlers.put(topic, handler);
  }

  /** Sets the listener for messages on a topic that need no answer; it gets the peer's name. */
  void listen(String topic, BiConsumer<String, byte[]> listener) {
    listeners.put(topic, listener);
  }

  /** Counts a message that was dropped: malformed, too large or of an unknown format. */
  public void countRefusedMessage() {
    refusedMessages++;
  }

  /** Returns the number of messages of peers that were dropped. */
  public long refusedMessages() {
    return refusedMessages;
  }

  /** Returns the number of answers to requests of this process that came after the timeout. */
  public long lateAnswers() {
    return lateAnswers;
  }

  /**
   * Returns the number of answers that were refused since this process sent no such request: an
   * earlier process of this controller did, or another peer was asked.
   */
  public long foreignAnswers() {
    return foreignAnswers;
  }

  /**
   * Sends a request to a peer; {@code done} gets the answer, or null if none arrives in time or the
   * request cannot be sent.
   */
  public void ask(String member, String topic, byte[] body, long timeoutMs, Consumer<byte[]> done) {
    if (pendingRequests.size() >= MAX_PENDING_REQUESTS || body.length > MAX_BODY_BYTES) {
      timers.after(0, () -> done.accept(null));
      return;
    }
    long number = numbers.next();
    Cancellable timer = timers.after(timeoutMs, () -> complete(number, null));
    pendingRequests.put(number, new PendingRequest(member, done, timer));
    LOG.debug("request {} to {} on topic {}", number, member, topic);
    network.send(member, new PeerAsk(number, topic, body));
  }

  /** Sends a message that needs no answer. */
  void sendWithoutAnswer(String member, String topic, byte[] body) {
    if (body.length <= MAX_BODY_BYTES) {
      network.send(member, new PeerAsk(RequestNumbers.NO_ANSWER, topic, body));
    }
  }

  private void complete(long number, byte[] answer) {
    PendingRequest pending = pendingRequests.remove(number);
    if (pending != null) {
      pending.timer().cancel();
      pending.done().accept(answer);
    }
  }

  void requestReceived(String member, PeerAsk ask) {
    BiConsumer<byte[], Consumer<byte[]>> handler = handlers.get(ask.topic());
    if (ask.body() == null || ask.body().length > MAX_BODY_BYTES) {
      countRefusedMessage();
      return;
    }
    BiConsumer<String, byte[]> listener = listeners.get(ask.topic());
    if (listener != null) {
      listener.accept(member, ask.body());
      return;
    }
    if (handler == null) {
      // A peer of another version knows topics that this controller does not.
      return;
    }
    LOG.debug("request {} of {} on topic {} received", ask.number(), member, ask.topic());
    handler.accept(
        ask.body(),
        answer -> {
          if (answer.length <= MAX_BODY_BYTES) {
            LOG.debug("answering request {} of {} on topic {}", ask.number(), member, ask.topic());
            network.send(member, new PeerAnswer(ask.number(), answer));
          }
        });
  }

  void answerReceived(String member, PeerAnswer answer) {
    PendingRequest pending = pendingRequests.get(answer.number());
    boolean isOwn =
        pending == null ? numbers.isUsed(answer.number()) : pending.member().equals(member);
    if (!isOwn) {
      LOG.debug(
          "refused an answer of {} to request {} of another process", member, answer.number());
      countForeignAnswer();
    } else if (pending == null) {
      LOG.debug("answer of {} to request {} came after the timeout", member, answer.number());
      lateAnswers++;
    } else {
      LOG.debug("answer of {} completes request {}", member, answer.number());
      complete(answer.number(), answer.body());
    }
  }

  private void countForeignAnswer() {
    boolean isLogScheduled = foreignAnswers > loggedForeignAnswers;
    foreignAnswers++;
    if (!isLogScheduled) {
      timers.after(FOREIGN_ANSWERS_LOG_DELAY_MS, this::logForeignAnswers);
    }
  }

  private void logForeignAnswers() {
    LOG.info(
        "refused {} answers of peers to requests that this process did not send",
        foreignAnswers - loggedForeignAnswers);
    loggedForeignAnswers = foreignAnswers;
  }
}
