package dapplestair.withdrawals;

import com.esotericsoftware.kryo.KryoException;
import dapplestair.leadership.Leadership;
import dapplestair.peers.Peers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What users were told is cancelled, and how far each controller knows it. Whoever tells a user
 * tells the other controllers first, and goes on until it is proved that the tasks are gone; nobody
 * keeps a worker's lease who may not know of a withdrawal (docs/withdrawals.md has the proof).
 */
public final class Withdrawals implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Withdrawals.class);

  /** What is asked of a peer's log, every few moments. */
  private static final String ASK = "withdrawn";

  /** What is about to be told to a user. */
  private static final String TELL = "withdrawing";

  // Answers to the latter.
  private static final byte KNOWN = 1;
  private static final byte CARRIED_ON = 2;
  private static final byte PROVED = 3;

  /** Told of withdrawals that others confirmed. */
  public interface Listener {
    /** This job is over for good, since its user withdrew it. */
    void withdrawn(String ref);

    /** Where its tasks may be, by the records as this controller has them. */
    List<Withdrawal.Place> places(String ref);

    /** True when this controller leads and nothing of the job is left anywhere. */
    boolean proved(String ref);
  }

  /** Withdrawals that were told here and are not known to be carried out. */
  private static final class Open {
    final long toldAt;
    long carriedOnAt = KnownTo.NEVER;

    Open(long toldAt) {
      this.toldAt = toldAt;
    }
  }

  private record Telling(String ref, Runnable then) {}

  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final Peers peers;
  private final Leadership leadership;
  private final Listener listener;
  private final KnownWithdrawals known;
  private final KnownTo knownTo;
  private final Enforcer enforcer;
  private final Map<String, Open> open = new LinkedHashMap<>();
  private final long process;
  private final long reportMs;
  private final long everyMs;
  private final long windowMs;
  private final LongSupplier stateAsOf;
  private List<Telling> telling = new ArrayList<>();
  private long asked;
  private long newestAt = KnownTo.NEVER;
  private Cancellable timer = () -> {};
  private Cancellable looking = () -> {};

  /**
   * {@code process} tells this process from its earlier lives; {@code stateAsOf} is when the newest
   * read of the records was asked for.
   */
  public Withdrawals(
      Clock clock,
      Timers timers,
      HttpCaller http,
      Settings settings,
      Peers peers,
      Leadership leadership,
      long process,
      LongSupplier stateAsOf,
      Listener listener) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.peers = peers;
    this.leadership = leadership;
    this.process = process | 1;
    this.stateAsOf = stateAsOf;
    this.listener = listener;
    this.reportMs = settings.workers().reportMs();
    this.everyMs = reportMs / 8;
    this.windowMs = windowMs(settings.workers());
    this.known = new KnownWithdrawals(clock, 2 * settings.workers().cancelMs());
    this.knownTo =
        new KnownTo(
            clock, stateAsOf, settings.peers().stream().map(Settings.Peer::member).toList());
    this.enforcer = new Enforcer(clock, timers, http, settings, this);
  }

  /**
   * For how long a lease may be kept by one who knows nothing newer: what is kept then still ends
   * in time. A sixteenth of a lease is left for clocks that drift and for what is under way.
   */
  static long windowMs(Settings.Workers w) {
    long left = w.cancelMs() - w.leaseMs() - w.leaseMs() / 16;
    return Math.max(left, leastWindowMs(w));
  }

  private static long leastWindowMs(Settings.Workers w) {
    return 2 * w.reportMs();
  }

  /** Begins to ask and to answer peers. */
  public void start() {
    Settings.Workers w = settings.workers();
    if (w.cancelMs() - w.leaseMs() - w.leaseMs() / 16 < leastWindowMs(w)) {
      LOG.warn(
          "cancel_s ({} s) is not above lease_s ({} s) by two reports and more: while controllers "
              + "cannot reach the state service or each other, a withdrawn job may hold its machines "
              + "for up to {} s",
          w.cancelMs() / 1000.0,
          w.leaseMs() / 1000.0,
          (windowMs + w.leaseMs() + w.leaseMs() / 16) / 1000.0);
    }
    peers.questions().answer(ASK, this::answer);
    peers.questions().answer(TELL, this::hear);
    ask();
    look();
  }

  // ---- who knows ----

  /** True when every confirmed withdrawal old enough to matter is known here. */
  public boolean mayRenew() {
    return !known.forgotTooEarly() && ageMs() <= windowMs;
  }

  /** True when what is known is new enough to start tasks by. */
  public boolean mayLaunch() {
    return ageMs() <= launchMs();
  }

  /** For how long after a withdrawal a launch of its job may still be sent. */
  public long launchMs() {
    return windowMs / 4;
  }

  /** How old the knowledge of all withdrawals is, milliseconds. */
  public long ageMs() {
    return knownTo.ageMs();
  }

  /** True when this job's user was told that it is withdrawn, or the job is over otherwise. */
  public boolean knows(String ref) {
    return known.knows(ref);
  }

  /** Attempts of such jobs that may be on a machine, by the records, in a session of its worker. */
  public List<KnownWithdrawals.Task> on(String host, long session) {
    return known.on(host).stream().filter(t -> t.place().session() == session).toList();
  }

  /** When a withdrawal was last learned of that may not be carried out yet. */
  public long newestAt() {
    return newestAt;
  }

  /** For how long a withdrawal counts: after that nothing of it can be left. */
  public long keptMs() {
    return 2 * settings.workers().cancelMs();
  }

  /** Withdrawals told here that are not known to be carried out. */
  public int open() {
    return open.size();
  }

  /** For how long the oldest of them has been open, milliseconds. */
  public long openMs() {
    return open.values().stream().mapToLong(o -> clock.now() - o.toldAt).max().orElse(0);
  }

  private List<Withdrawal> openOnes() {
    List<Withdrawal> out = new ArrayList<>();
    open.forEach(
        (ref, o) -> {
          if (known.get(ref) != null) {
            out.add(new Withdrawal(ref, o.toldAt, known.get(ref).places()));
          }
        });
    return out;
  }

  /** The records say that a job is over: withdrawn, or done. */
  public void removed(String ref) {
    known.learn(ref, 0, listener.places(ref));
    newestAt = clock.now();
  }

  // ---- telling ----

  /**
   * A user is about to be told, by whatever question, that this job is withdrawn. All that the
   * records held of the job at that moment has been read. Whoever can be asked now knows of it
   * before the user does, so that the end of this controller right afterwards loses nothing.
   */
  public void confirm(String ref, Runnable then) {
    if (known.logged(ref)) {
      then.run();
      return;
    }
    if (telling.isEmpty()) {
      // All that come in the same turn share one message.
      timers.after(0, this::tell);
    }
    telling.add(new Telling(ref, then));
  }

  private void tell() {
    List<Telling> now = telling;
    telling = new ArrayList<>();
    for (Telling t : now) {
      List<Withdrawal.Place> places = listener.places(t.ref());
      known.learn(t.ref(), 0, places);
      known.told(t.ref());
      if (known.log(t.ref()) && !places.isEmpty()) {
        open.put(t.ref(), new Open(clock.now()));
        newestAt = clock.now();
      }
    }
    List<String> refs = now.stream().map(Telling::ref).distinct().toList();
    int[] waiting = {1};
    Runnable one =
        () -> {
          if (--waiting[0] == 0) {
            now.forEach(t -> t.then().run());
          }
        };
    for (Settings.Peer p : settings.peers()) {
      if (peers.alive(p.member())) {
        waiting[0]++;
        tell(p.member(), refs, one);
      }
    }
    one.run();
  }

  /** A short bound: whoever does not answer is no reason to keep a user waiting. */
  private void tell(String member, List<String> refs, Runnable then) {
    List<WithdrawalCodec.Entry> entries =
        refs.stream()
            .map(known::get)
            .filter(w -> w != null && w.places().size() <= WithdrawalCodec.MOST_PLACES)
            .limit(WithdrawalCodec.MOST_ENTRIES)
            .map(this::entry)
            .toList();
    byte[] body =
        encoded(new WithdrawalCodec.Answer(0, 0, process, leadership.termSeen(), false, entries));
    if (body == null) {
      // Too much for one message: it is asked for, part by part.
      timers.after(0, then);
      return;
    }
    peers
        .questions()
        .ask(
            member,
            TELL,
            body,
            reportMs / 20,
            reply -> {
              if (reply != null && reply.length == entries.size()) {
                for (int i = 0; i < reply.length; i++) {
                  heardOf(entries.get(i).ref(), reply[i]);
                }
              }
              then.run();
            });
  }

  private static byte[] encoded(WithdrawalCodec.Answer answer) {
    try {
      return WithdrawalCodec.encode(answer);
    } catch (KryoException e) {
      return null;
    }
  }

  private WithdrawalCodec.Entry entry(Withdrawal w) {
    return new WithdrawalCodec.Entry(
        Math.max(1, known.number(w.ref())), w.ref(), clock.now() - w.at(), w.places());
  }

  private void heardOf(String ref, byte how) {
    Open o = open.get(ref);
    if (o != null && how == PROVED) {
      open.remove(ref);
    } else if (o != null && how == CARRIED_ON) {
      o.carriedOnAt = clock.now();
    }
  }

  /** True while a leader says that it carries this withdrawal out. */
  boolean carriedOn(String ref) {
    Open o = open.get(ref);
    return o == null || clock.now() - o.carriedOnAt < 2 * reportMs;
  }

  /** It is proved that nothing is left of it. */
  void proved(String ref) {
    open.remove(ref);
  }

  private void hear(byte[] body, Consumer<byte[]> reply) {
    WithdrawalCodec.Answer told = WithdrawalCodec.answer(body);
    if (told == null) {
      peers.questions().refused();
      return;
    }
    leadership.termShown(told.term());
    byte[] how = new byte[told.entries().size()];
    int i = 0;
    for (WithdrawalCodec.Entry e : told.entries()) {
      learn(e);
      how[i++] = !leadership.leading() ? KNOWN : listener.proved(e.ref()) ? PROVED : CARRIED_ON;
    }
    reply.accept(how);
  }

  private void learn(WithdrawalCodec.Entry e) {
    known.learn(e.ref(), e.ageMs(), e.places());
    if (known.told(e.ref())) {
      // Also when it was known from the records: its user hears of it only now.
      newestAt = clock.now();
    }
    listener.withdrawn(e.ref());
  }

  // ---- asking ----

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
      learn(e);
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
    byte[] bytes = encoded(answer);
    if (bytes != null) {
      reply.accept(bytes);
    }
  }

  // ---- carrying out ----

  /** Goes on with what was told here until it is proved to be carried out, by whomever. */
  private void look() {
    known.all();
    boolean recordsAreNew = clock.now() - stateAsOf.getAsLong() < reportMs;
    for (String ref : List.copyOf(open.keySet())) {
      boolean forgotten = known.get(ref) == null;
      boolean byRecords = recordsAreNew && listener.places(ref).isEmpty();
      if (forgotten || byRecords || listener.proved(ref)) {
        open.remove(ref);
      }
    }
    if (!open.isEmpty()) {
      List<String> refs = List.copyOf(open.keySet());
      for (Settings.Peer p : settings.peers()) {
        if (peers.alive(p.member())) {
          tell(p.member(), refs, () -> {});
        }
      }
      // Whoever leads by records that are new has read of the withdrawal there.
      if (!leadership.leading() && !(recordsAreNew && leadership.leader() != null)) {
        enforcer.enforce(openOnes());
      }
    }
    looking = timers.after(reportMs / 2, this::look);
  }

  /** Machines of which a report came here, with their addresses. */
  public void addressed(String host, String endpoint) {
    enforcer.addressed(host, endpoint);
  }

  Set<String> openRefs() {
    return open.keySet();
  }

  List<Withdrawal.Place> placesOf(String ref) {
    Withdrawal w = known.get(ref);
    return w == null ? List.of() : w.places();
  }

  @Override
  public void close() {
    timer.cancel();
    looking.cancel();
  }
}
