package dapplestair.peers;

import dapplestair.ports.Cancellable;
import dapplestair.ports.PeerNetwork;
import dapplestair.ports.Timers;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Questions between controllers, each answered or timed out. */
public final class PeerRequests {
  // Room for what a frame holds besides the body.
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

  PeerRequests(Timers timers, PeerNetwork network) {
    this.timers = timers;
    this.network = network;
  }

  /** Answers questions on a topic; an answer may come later. */
  public void handle(String topic, BiConsumer<byte[], Consumer<byte[]>> handler) {
    handlers.put(topic, handler);
  }

  /** Hears what peers tell on a topic, with the peer's name; nothing is answered. */
  void listen(String topic, BiConsumer<String, byte[]> listener) {
    listeners.put(topic, listener);
  }

  /** A message was garbled, too large or of an unknown form: it is dropped. */
  public void countRefusedMessage() {
    refusedMessages++;
  }

  /** Messages of peers that were dropped. */
  public long refusedMessages() {
    return refusedMessages;
  }

  /** Asks a peer; {@code done} gets its answer, or null when none came in time. */
  public void ask(String member, String topic, byte[] body, long timeoutMs, Consumer<byte[]> done) {
    if (pendingRequests.size() >= MAX_PENDING_REQUESTS || body.length > MAX_BODY_BYTES) {
      timers.after(0, () -> done.accept(null));
      return;
    }
    long number = ++lastRequestNumber;
    Cancellable timer = timers.after(timeoutMs, () -> complete(number, null));
    pendingRequests.put(number, new PendingRequest(member, done, timer));
    network.send(member, new PeerAsk(number, topic, body));
  }

  /** Tells a peer something; a number that no question has says that no answer is awaited. */
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
      // A topic of another version.
      return;
    }
    handler.accept(
        ask.body(),
        answer -> {
          if (answer.length <= MAX_BODY_BYTES) {
            network.send(member, new PeerAnswer(ask.number(), answer));
          }
        });
  }

  void answerReceived(String member, PeerAnswer answer) {
    PendingRequest pending = pendingRequests.get(answer.number());
    // Late answers, and those of another than was asked, are nobody's.
    if (pending != null && pending.member().equals(member)) {
      complete(answer.number(), answer.body());
    }
  }
}
