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

/** Requests between controllers, each of which is answered or times out. */
public final class PeerRequests {
  private static final Logger LOG = LoggerFactory.getLogger(PeerRequests.class);

  // Leaves 1 KiB of the frame for everything besides the body.
  private static final int MAX_BODY_BYTES = PeerCodec.MAX_FRAME_BYTES - 1024;
  private static final int MAX_PENDING_REQUESTS = 128;

  private record PendingRequest(String member, Consumer<byte[]> done, Cancellable timer) {}

  private final Timers timers;
  private final PeerNetwork network;
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private final Map<String, BiConsumer<byte[], Consumer<byte[]>>> handlers =
      new Object2ObjectOpenHashMap<>();
  private final Map<String, BiConsumer<String, byte[]>> listeners = new HashMap<>();
  private long lastRequestNumber;
  private long refusedMessages;
  private long unmatchedAnswers;

  PeerRequests(Timers timers, PeerNetwork network) {
    this.timers = timers;
    this.network = network;
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

  /**
   * Returns the number of answers that completed no request: they came after the timeout, or from a
   * peer that was not asked.
   */
  public long unmatchedAnswers() {
    return unmatchedAnswers;
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
    long number = ++lastRequestNumber;
    Cancellable timer = timers.after(timeoutMs, () -> complete(number, null));
    pendingRequests.put(number, new PendingRequest(member, done, timer));
    LOG.debug("request {} to {} on topic {}", number, member, topic);
    network.send(member, new PeerAsk(number, topic, body));
  }

  /** Sends a message that needs no answer; its number is 0, which no request has. */
  void sendWithoutAnswer(String member, String topic, byte[] body) {
    if (body.length <= MAX_BODY_BYTES) {
      network.send(member, new PeerAsk(0, topic, body));
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
    if (pending != null && pending.member().equals(member)) {
      LOG.debug("answer of {} completes request {}", member, answer.number());
      complete(answer.number(), answer.body());
    } else {
      LOG.debug("answer of {} to request {} matches no request", member, answer.number());
      unmatchedAnswers++;
    }
  }
}
