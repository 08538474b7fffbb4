package dapplestair.withdrawals;

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
final class LogExchange implements AutoCloseable {
  /** What is asked of a peer's log, every few moments. */
  private static final String ASK = "withdrawn";

  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final Peers peers;
  private final Leadership leadership;
  private final long process;
  private final KnownWithdrawals known;
  private final KnownTo knownTo;
  private final ObjLongConsumer<WithdrawalCodec.Entry> learn;
  private final long everyMs;
  private long asked;
  private Cancellable timer = () -> {};

  /**
   * {@code process} tells this process from its earlier lives; {@code learn} hears what is new and
   * whose.
   */
  LogExchange(
      Clock clock,
      Timers timers,
      Settings settings,
      Peers peers,
      Leadership leadership,
      long process,
      KnownWithdrawals known,
      KnownTo knownTo,
      ObjLongConsumer<WithdrawalCodec.Entry> learn) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.peers = peers;
    this.leadership = leadership;
    this.process = process;
    this.known = known;
    this.knownTo = knownTo;
    this.learn = learn;
    this.everyMs = settings.workers().reportMs() / 8;
  }

  void start() {
    peers.questions().answer(ASK, this::answer);
    ask();
  }

  /** Asks each peer what it has confirmed since, again and again. */
  private void ask() {
    for (Settings.Peer p : settings.peers()) {
      ask(p.member());
    }
    timer = timers.after(everyMs, this::ask);
  }

  private void ask(String member) {
    KnownTo.Peer peer = knownTo.peer(member);
    long number = ++asked;
    long askedAt = clock.now();
    byte[] body =
        WithdrawalCodec.encode(new WithdrawalCodec.Ask(process, number, peer.log, peer.after));
    peers
        .questions()
        .ask(member, ASK, body, 4 * everyMs, reply -> answered(peer, number, askedAt, reply));
  }

  private void answered(KnownTo.Peer peer, long number, long askedAt, byte[] reply) {
    WithdrawalCodec.Answer a = reply == null ? null : WithdrawalCodec.answer(reply);
    if (reply != null && a == null) {
      peers.questions().refused();
    }
    // An answer to a question of an earlier life of this process says nothing about this one's.
    if (a == null || a.asker() != process || a.number() != number) {
      return;
    }
    leadership.termShown(a.term());
    if (a.log() != peer.log) {
      knownTo.met(peer, a.log());
    }
    for (WithdrawalCodec.Entry e : a.entries()) {
      learn.accept(e, a.log());
      peer.after = Math.max(peer.after, e.number());
    }
    if (a.whole()) {
      knownTo.told(peer, askedAt);
    }
  }

  private void answer(byte[] body, Consumer<byte[]> reply) {
    WithdrawalCodec.Ask ask = WithdrawalCodec.ask(body);
    if (ask == null) {
      peers.questions().refused();
      return;
    }
    long after = ask.log() == process ? ask.after() : 0;
    List<WithdrawalCodec.Entry> entries =
        known.after(after, WithdrawalCodec.MOST_ENTRIES / 4, WithdrawalCodec.MOST_PLACES);
    long last = entries.isEmpty() ? after : entries.get(entries.size() - 1).number();
    boolean whole = last >= known.lastNumber() || known.after(last, 1, Integer.MAX_VALUE).isEmpty();
    WithdrawalCodec.Answer answer =
        new WithdrawalCodec.Answer(
            ask.asker(),
            ask.number(),
            process,
            leadership.termSeen(),
            whole && !known.forgotTooEarly(),
            entries);
    byte[] bytes = WithdrawalCodec.encode(answer);
    if (bytes != null) {
      reply.accept(bytes);
    }
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
