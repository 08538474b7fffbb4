package dapplestair.cancellations;

import dapplestair.leadership.Leadership;
import dapplestair.peers.Peers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;

/** Each controller asks every other for what it has confirmed since it was last asked. */
final class CancellationLogSync implements AutoCloseable {
  /** What is asked of a peer's log, every few moments. */
  private static final String ASK = "withdrawn";

  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final Peers peers;
  private final Leadership leadership;
  private final long process;
  private final KnownCancellations known;
  private final CancellationWatermark watermark;
  private final ObjLongConsumer<CancellationCodec.LogEntry> learn;
  private final long everyMs;
  private long asked;
  private Cancellable timer = () -> {};

  /**
   * {@code process} tells this process from its earlier lives; {@code learn} hears what is new and
   * whose.
   */
  CancellationLogSync(
      Clock clock,
      Timers timers,
      Settings settings,
      Peers peers,
      Leadership leadership,
      long process,
      KnownCancellations known,
      CancellationWatermark watermark,
      ObjLongConsumer<CancellationCodec.LogEntry> learn) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.peers = peers;
    this.leadership = leadership;
    this.process = process;
    this.known = known;
    this.watermark = watermark;
    this.learn = learn;
    this.everyMs = settings.workers().reportMs() / 8;
  }

  void start() {
    peers.requests().handle(ASK, this::answer);
    ask();
  }

  /** Asks each peer what it has confirmed since, again and again. */
  private void ask() {
    for (Settings.Peer peer : settings.peers()) {
      ask(peer.member());
    }
    timer = timers.after(everyMs, this::ask);
  }

  private void ask(String member) {
    CancellationWatermark.PeerLog peer = watermark.peer(member);
    long number = ++asked;
    long askedAt = clock.now();
    byte[] body =
        CancellationCodec.encode(
            new CancellationCodec.LogRequest(process, number, peer.log, peer.after));
    peers
        .requests()
        .ask(member, ASK, body, 4 * everyMs, reply -> answered(peer, number, askedAt, reply));
  }

  private void answered(
      CancellationWatermark.PeerLog peer, long number, long askedAt, byte[] reply) {
    CancellationCodec.LogResponse response = reply == null ? null : CancellationCodec.answer(reply);
    if (reply != null && response == null) {
      peers.requests().countRefusedMessage();
    }
    // An answer to a question of an earlier life of this process says nothing about this one's.
    if (response == null || response.asker() != process || response.number() != number) {
      return;
    }
    leadership.observeTerm(response.term());
    if (response.log() != peer.log) {
      watermark.met(peer, response.log());
    }
    for (CancellationCodec.LogEntry entry : response.entries()) {
      learn.accept(entry, response.log());
      peer.after = Math.max(peer.after, entry.number());
    }
    if (response.whole()) {
      watermark.told(peer, askedAt);
    }
  }

  private void answer(byte[] body, Consumer<byte[]> reply) {
    CancellationCodec.LogRequest request = CancellationCodec.ask(body);
    if (request == null) {
      peers.requests().countRefusedMessage();
      return;
    }
    long after = request.log() == process ? request.after() : 0;
    List<CancellationCodec.LogEntry> entries =
        known.after(after, CancellationCodec.MOST_ENTRIES / 4, CancellationCodec.MOST_PLACES);
    long last = entries.isEmpty() ? after : entries.get(entries.size() - 1).number();
    boolean whole = last >= known.lastNumber() || known.after(last, 1, Integer.MAX_VALUE).isEmpty();
    CancellationCodec.LogResponse response =
        new CancellationCodec.LogResponse(
            request.asker(),
            request.number(),
            process,
            leadership.highestTermSeen(),
            whole && !known.forgotTooEarly(),
            entries);
    byte[] bytes = CancellationCodec.encode(response);
    if (bytes != null) {
      reply.accept(bytes);
    }
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
