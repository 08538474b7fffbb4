package dapplestair.relay;

import dapplestair.peers.Peers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import dapplestair.relay.RelayFrameCodec.Frame;
import dapplestair.relay.RelayFrameCodec.Reply;
import dapplestair.relay.RelayFrameCodec.Request;
import dapplestair.relay.RelayFrameCodec.RequestKind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Exchanges relayed requests between controllers, batching them into frames for a short time. A
 * request is sent once and never repeated; if no reply arrives in time, its outcome is unknown.
 */
final class RelayLinks implements AutoCloseable {
  /** Topic of relay frames; controllers of older versions do not know it and do not answer. */
  private static final String TOPIC = "relay";

  /** Maximum number of requests to one controller that await a reply. */
  private static final int MAX_PENDING_REQUESTS = 4096;

  private static final int MAX_BATCH_BYTES = RelayFrameCodec.MAX_FRAME_BYTES / 2;

  /** Handles the requests of other controllers. */
  interface Handler {
    /**
     * Handles one request; {@code done} may be called later, and never for {@link
     * RequestKind#MODE}.
     */
    void handle(String member, Request request, Consumer<HttpReply> done);
  }

  private record PendingRelay(String member, Consumer<HttpReply> done, Cancellable timer) {}

  /** The requests and replies that wait to be sent to one controller. */
  private static final class Outbox {
    final ArrayDeque<Request> requests = new ArrayDeque<>();
    final ArrayDeque<Reply> replies = new ArrayDeque<>();
    long receiverProcess;
    int pendingCount;
    boolean flushScheduled;
  }

  private final Timers timers;
  private final Peers peers;
  private final long ownProcess;
  private final long gatherMs;
  private final Handler handler;
  private final Map<String, Outbox> outboxes = new HashMap<>();
  private final Map<Long, PendingRelay> pendingRelays = new HashMap<>();
  private long lastId;

  /**
   * Creates the links to all controllers.
   *
   * @param process id of this process, which differs after each restart
   * @param gatherMs how long requests are collected for one frame, in milliseconds
   */
  RelayLinks(Timers timers, Peers peers, long process, long gatherMs, Handler handler) {
    this.timers = timers;
    this.peers = peers;
    this.ownProcess = process;
    this.gatherMs = gatherMs;
    this.handler = handler;
  }

  void start() {
    peers.listen(TOPIC, this::frameReceived);
  }

  /** Sends a request; {@code done} is called exactly once, also if no reply arrives. */
  void call(
      String member,
      RequestKind kind,
      String endpoint,
      byte[] body,
      long timeoutMs,
      Consumer<HttpReply> done) {
    Outbox outbox = outbox(member);
    if (outbox.pendingCount >= MAX_PENDING_REQUESTS) {
      timers.after(0, () -> done.accept(HttpReply.of(HttpReply.NOT_SENT)));
      return;
    }
    outbox.pendingCount++;
    long id = ++lastId;
    Cancellable timer =
        timers.after(timeoutMs, () -> complete(id, HttpReply.of(HttpReply.UNKNOWN)));
    pendingRelays.put(id, new PendingRelay(member, done, timer));
    outbox.requests.add(new Request(id, kind, endpoint, timeoutMs, body));
    flushSoon(member, outbox);
  }

  /** Sends a request that has no reply. */
  void send(String member, RequestKind kind, byte[] body) {
    Outbox outbox = outbox(member);
    if (outbox.requests.size() < MAX_PENDING_REQUESTS) {
      outbox.requests.add(new Request(0, kind, "", 0, body));
      flushSoon(member, outbox);
    }
  }

  private Outbox outbox(String member) {
    return outboxes.computeIfAbsent(member, m -> new Outbox());
  }

  private void flushSoon(String member, Outbox outbox) {
    if (!outbox.flushScheduled) {
      outbox.flushScheduled = true;
      timers.after(gatherMs, () -> flush(member, outbox));
    }
  }

  private void flush(String member, Outbox outbox) {
    outbox.flushScheduled = false;
    while (!outbox.requests.isEmpty() || !outbox.replies.isEmpty()) {
      int bytes = 0;
      List<Request> requests = new ArrayList<>();
      while (!outbox.requests.isEmpty() && hasRoom(requests.size(), bytes)) {
        Request request = outbox.requests.poll();
        // A request that timed out in the outbox need not be sent.
        if (request.id() == 0 || pendingRelays.containsKey(request.id())) {
          requests.add(request);
          bytes += request.body().length;
        }
      }
      List<Reply> replies = new ArrayList<>();
      while (!outbox.replies.isEmpty() && hasRoom(replies.size(), bytes)) {
        replies.add(outbox.replies.peek());
        bytes += outbox.replies.poll().body().length;
      }
      byte[] frame =
          RelayFrameCodec.encode(new Frame(ownProcess, outbox.receiverProcess, requests, replies));
      if (frame != null) {
        peers.send(member, TOPIC, frame);
      }
    }
  }

  private static boolean hasRoom(int items, int bytes) {
    return items < RelayFrameCodec.MAX_ITEMS && bytes < MAX_BATCH_BYTES;
  }

  private void frameReceived(String member, byte[] bytes) {
    Frame frame = RelayFrameCodec.decode(bytes);
    if (frame == null) {
      peers.requests().countRefusedMessage();
      return;
    }
    Outbox outbox = outbox(member);
    if (outbox.receiverProcess != frame.sender()) {
      // The peer has restarted: its former process no longer awaits replies.
      outbox.replies.clear();
      outbox.receiverProcess = frame.sender();
    }
    if (frame.receiver() == ownProcess) {
      frame.replies().forEach(reply -> replyReceived(member, reply));
    }
    for (Request request : frame.requests()) {
      long sender = frame.sender();
      handler.handle(member, request, reply -> sendReply(member, sender, request.id(), reply));
    }
  }

  private void sendReply(String member, long sender, long id, HttpReply reply) {
    Outbox outbox = outbox(member);
    if (id != 0 && outbox.receiverProcess == sender) {
      outbox.replies.add(new Reply(id, reply.status(), reply.body()));
      flushSoon(member, outbox);
    }
  }

  private void replyReceived(String member, Reply reply) {
    PendingRelay pending = pendingRelays.get(reply.id());
    if (pending != null && pending.member().equals(member)) {
      complete(reply.id(), new HttpReply(reply.status(), reply.body()));
    }
  }

  private void complete(long id, HttpReply reply) {
    PendingRelay pending = pendingRelays.remove(id);
    if (pending != null) {
      pending.timer().cancel();
      outbox(pending.member()).pendingCount--;
      pending.done().accept(reply);
    }
  }

  @Override
  public void close() {
    pendingRelays.values().forEach(pending -> pending.timer().cancel());
    pendingRelays.clear();
  }
}
