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
  private static final int LARGEST_BODY = PeerCodec.LARGEST_FRAME - 1024;
  private static final int MOST_OPEN = 128;

  private record PendingRequest(String member, Consumer<byte[]> done, Cancellable timer) {}

  private final Timers timers;
  private final PeerNetwork network;
  private final Map<Long, PendingRequest> open = new HashMap<>();
  private final Map<String, BiConsumer<byte[], Consumer<byte[]>>> topics =
      new Object2ObjectOpenHashMap<>();
  private final Map<String, BiConsumer<String, byte[]>> listeners = new HashMap<>();
  private long lastNumber;
  private long refused;

  PeerRequests(Timers timers, PeerNetwork network) {
    this.timers = timers;
    this.network = network;
  }

  /** Answers questions on a topic; an answer may come later. */
  public void answer(String topic, BiConsumer<byte[], Consumer<byte[]>> by) {
    topics.put(topic, by);
  }

  /** Hears what peers tell on a topic, with the peer's name; nothing is answered. */
  void listen(String topic, BiConsumer<String, byte[]> listener) {
    listeners.put(topic, listener);
  }

  /** A message was garbled, too large or of an unknown form: it is dropped. */
  public void refused() {
    refused++;
  }

  /** Messages of peers that were dropped. */
  public long refusedSoFar() {
    return refused;
  }

  /** Asks a peer; {@code done} gets its answer, or null when none came in time. */
  public void ask(String member, String topic, byte[] body, long timeoutMs, Consumer<byte[]> done) {
    if (open.size() >= MOST_OPEN || body.length > LARGEST_BODY) {
      timers.after(0, () -> done.accept(null));
      return;
    }
    long number = ++lastNumber;
    Cancellable timer = timers.after(timeoutMs, () -> end(number, null));
    open.put(number, new PendingRequest(member, done, timer));
    network.send(member, new PeerAsk(number, topic, body));
  }

  /** Tells a peer something; a number that no question has says that no answer is awaited. */
  void tell(String member, String topic, byte[] body) {
    if (body.length <= LARGEST_BODY) {
      network.send(member, new PeerAsk(0, topic, body));
    }
  }

  private void end(long number, byte[] answer) {
    PendingRequest o = open.remove(number);
    if (o != null) {
      o.timer().cancel();
      o.done().accept(answer);
    }
  }

  void asked(String member, PeerAsk ask) {
    BiConsumer<byte[], Consumer<byte[]>> by = topics.get(ask.topic());
    if (ask.body() == null || ask.body().length > LARGEST_BODY) {
      refused();
      return;
    }
    BiConsumer<String, byte[]> listener = listeners.get(ask.topic());
    if (listener != null) {
      listener.accept(member, ask.body());
      return;
    }
    if (by == null) {
      // A topic of another version.
      return;
    }
    by.accept(
        ask.body(),
        answer -> {
          if (answer.length <= LARGEST_BODY) {
            network.send(member, new PeerAnswer(ask.number(), answer));
          }
        });
  }

  void answered(String member, PeerAnswer answer) {
    PendingRequest o = open.get(answer.number());
    // Late answers, and those of another than was asked, are nobody's.
    if (o != null && o.member().equals(member)) {
      end(answer.number(), answer.body());
    }
  }
}
