package dapplestair.cancellations;

import dapplestair.cloud.CloudClient;
import dapplestair.leadership.Leadership;
import dapplestair.peers.Peers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What users were told is cancelled, and how far each controller knows it. Whoever tells a user
 * tells the other controllers first, and goes on until it is proved that the tasks are gone; nobody
 * keeps a worker's lease who may not know of a cancellation (docs/cancellations.md has the proof).
 */
public final class Cancellations implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Cancellations.class);

  /** What is about to be told to a user. */
  private static final String TELL = "withdrawing";

  // Answers to the latter.
  private static final byte KNOWN = 1;
  private static final byte CARRIED_ON = 2;
  private static final byte PROVED = 3;

  /** Told of cancellations that others confirmed. */
  public interface Listener {
    /** This job is over for good, since its user cancelled it. */
    void cancelled(String ref);

    /** Where its tasks may be, by the records as this controller has them. */
    List<Cancellation.TaskLocation> places(String ref);

    /** True when this controller leads and has all attempts at hand. */
    boolean begun();

    /** True when this controller leads and nothing of the job is left anywhere. */
    boolean proved(String ref);
  }

  private record PendingConfirmation(String ref, Runnable then) {}

  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final Peers peers;
  private final Leadership leadership;
  private final Listener listener;
  private final KnownCancellations known;
  private final CancellationWatermark watermark;
  private final CancellationLogSync logs;
  private final CancellationEnforcer enforcer;
  private final ForgottenMachines forgotten;
  private final OpenCancellations open;
  private final long process;
  private final long reportMs;
  private final long windowMs;
  private final long keptMs;
  private final LongSupplier stateAsOf;
  private List<PendingConfirmation> telling = new ArrayList<>();
  private long newestAt = CancellationWatermark.NEVER;
  private Cancellable looking = () -> {};

  /** {@code stateAsOf} is when the newest read of the records was asked for. */
  public Cancellations(
      Clock clock,
      Timers timers,
      HttpCaller http,
      CloudClient cloud,
      Settings settings,
      Peers peers,
      Leadership leadership,
      LongSupplier stateAsOf,
      Listener listener) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.peers = peers;
    this.leadership = leadership;
    this.process = leadership.processId() | 1;
    this.stateAsOf = stateAsOf;
    this.listener = listener;
    this.reportMs = settings.workers().reportMs();
    this.windowMs = windowMs(settings.workers());
    this.keptMs = 2 * settings.workers().cancelMs();
    this.known = new KnownCancellations(clock, keptMs);
    this.open = new OpenCancellations(clock, known, 2 * reportMs);
    this.watermark =
        new CancellationWatermark(
            clock, stateAsOf, settings.peers().stream().map(Settings.Peer::member).toList());
    this.logs =
        new CancellationLogSync(
            clock, timers, settings, peers, leadership, process, known, watermark, this::learn);
    this.enforcer =
        new CancellationEnforcer(clock, timers, http, cloud, settings, open, launchMs());
    this.forgotten =
        new ForgottenMachines(
            clock,
            timers,
            cloud,
            settings,
            peers,
            () -> stateAsOf.getAsLong() <= CancellationWatermark.NEVER);
  }

  /**
   * For how long a lease may be kept by one who knows nothing newer: what is kept then still ends
   * in time. A sixteenth of a lease is left for clocks that drift and for what is under way.
   */
  static long windowMs(Settings.Workers workers) {
    return Math.max(leftMs(workers), leastWindowMs(workers));
  }

  private static long leftMs(Settings.Workers workers) {
    return workers.cancelMs() - workers.leaseMs() - workers.leaseMs() / 16;
  }

  private static long leastWindowMs(Settings.Workers workers) {
    return 2 * workers.reportMs();
  }

  /** Begins to ask and to answer peers. */
  public void start() {
    Settings.Workers workers = settings.workers();
    if (leftMs(workers) < leastWindowMs(workers)) {
      LOG.warn(
          "cancel_s ({} s) is not above lease_s ({} s) by two reports and more: while controllers "
              + "cannot reach the state service or each other, a cancelled job may hold its machines "
              + "for up to {} s",
          workers.cancelMs() / 1000.0,
          workers.leaseMs() / 1000.0,
          (windowMs + workers.leaseMs() + workers.leaseMs() / 16) / 1000.0);
    }
    peers.requests().handle(TELL, this::hear);
    logs.start();
    forgotten.start();
    look();
  }

  // ---- who knows ----

  /** True when every confirmed cancellation old enough to matter is known here. */
  public boolean mayRenew() {
    return !known.forgotTooEarly() && ageMs() <= windowMs;
  }

  /** True when what is known is new enough to start tasks by. */
  public boolean mayLaunch() {
    return ageMs() <= launchMs();
  }

  /** For how long after a cancellation a launch of its job may still be sent. */
  public long launchMs() {
    return windowMs / 4;
  }

  /** How old the knowledge of all cancellations is, milliseconds. */
  public long ageMs() {
    return watermark.ageMs();
  }

  /** True when this job's user was told that it is cancelled, or the job is over otherwise. */
  public boolean knows(String ref) {
    return known.knows(ref);
  }

  /** Attempts of such jobs that may be on a machine, by the records, in a session of its worker. */
  public List<KnownCancellations.CancelledTask> on(String host, long session) {
    return known.on(host).stream().filter(t -> t.place().session() == session).toList();
  }

  /** When a cancellation was last learned of that may not be carried out yet. */
  public long newestAt() {
    return newestAt;
  }

  /** For how long a cancellation counts: after that nothing of it can be left. */
  public long keptMs() {
    return keptMs;
  }

  /** Cancellations told here that are not known to be carried out. */
  public int open() {
    return open.size();
  }

  /** For how long the oldest of them has been open, milliseconds. */
  public long openMs() {
    return open.oldestMs();
  }

  /** The records say that a job is over: cancelled, or done. */
  public void removed(String ref) {
    known.learn(ref, 0, listener.places(ref));
    newestAt = clock.now();
  }

  // ---- telling ----

  /**
   * A user is about to be told, by whatever question, that this job is cancelled. All that the
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
    telling.add(new PendingConfirmation(ref, then));
  }

  private void tell() {
    List<PendingConfirmation> now = telling;
    telling = new ArrayList<>();
    for (PendingConfirmation t : now) {
      List<Cancellation.TaskLocation> places = listener.places(t.ref());
      known.learn(t.ref(), 0, places);
      known.told(t.ref());
      if (known.log(t.ref()) && !places.isEmpty()) {
        open.told(t.ref());
        newestAt = clock.now();
      }
    }
    List<String> refs = now.stream().map(PendingConfirmation::ref).distinct().toList();
    int[] waiting = {1};
    Runnable one =
        () -> {
          if (--waiting[0] == 0) {
            now.forEach(t -> t.then().run());
          }
        };
    for (Settings.Peer peer : settings.peers()) {
      if (peers.isAlive(peer.member())) {
        waiting[0]++;
        tell(peer.member(), refs, one);
      }
    }
    one.run();
  }

  /** A short bound: whoever does not answer is no reason to keep a user waiting. */
  private void tell(String member, List<String> refs, Runnable then) {
    List<CancellationCodec.LogEntry> entries =
        refs.stream()
            .map(known::get)
            .filter(w -> w != null && w.places().size() <= CancellationCodec.MOST_PLACES)
            .limit(CancellationCodec.MOST_ENTRIES)
            .map(this::entry)
            .toList();
    byte[] body =
        CancellationCodec.encode(
            new CancellationCodec.LogResponse(
                0, 0, process, leadership.highestTermSeen(), false, entries));
    if (body == null) {
      // Too much for one message: it is asked for, part by part.
      timers.after(0, then);
      return;
    }
    peers
        .requests()
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

  private CancellationCodec.LogEntry entry(Cancellation cancellation) {
    return new CancellationCodec.LogEntry(
        Math.max(1, known.number(cancellation.ref())),
        cancellation.ref(),
        clock.now() - cancellation.at(),
        cancellation.places());
  }

  private void heardOf(String ref, byte how) {
    if (how == PROVED) {
      open.proved(ref);
    } else if (how == CARRIED_ON) {
      open.carriedOnNow(ref);
    }
  }

  private void hear(byte[] body, Consumer<byte[]> reply) {
    CancellationCodec.LogResponse told = CancellationCodec.answer(body);
    if (told == null) {
      peers.requests().countRefusedMessage();
      return;
    }
    leadership.observeTerm(told.term());
    byte[] how = new byte[told.entries().size()];
    int i = 0;
    for (CancellationCodec.LogEntry entry : told.entries()) {
      learn(entry, told.log());
      how[i++] = carriedOut(entry.ref());
    }
    reply.accept(how);
  }

  private byte carriedOut(String ref) {
    // A leader that still reads what jobs that are over have on machines may not know of this one's
    // tasks, and in an outage it reads no more: who waits for it then waits in vain.
    if (!listener.begun()) {
      return KNOWN;
    }
    return listener.proved(ref) ? PROVED : CARRIED_ON;
  }

  private void learn(CancellationCodec.LogEntry entry, long teller) {
    known.learn(entry.ref(), entry.ageMs(), entry.places());
    if (known.told(entry.ref())) {
      // Also when it was known from the records: its user hears of it only now.
      newestAt = clock.now();
      if (!entry.places().isEmpty()) {
        open.heard(entry.ref(), teller, entry.ageMs());
      }
    }
    listener.cancelled(entry.ref());
  }

  // ---- carrying out ----

  /** Goes on with what was told here until it is proved to be carried out, by whomever. */
  private void look() {
    known.forget();
    boolean recordsAreNew = clock.now() - stateAsOf.getAsLong() < reportMs;
    open.prove(
        ref ->
            !known.knows(ref)
                || recordsAreNew && listener.places(ref).isEmpty()
                || listener.proved(ref));
    open.adopt(process -> watermark.lives(process, peers::isAlive));
    List<String> refs = open.refs();
    if (!refs.isEmpty()) {
      for (Settings.Peer peer : settings.peers()) {
        if (peers.isAlive(peer.member())) {
          tell(peer.member(), refs, () -> {});
        }
      }
      // Whoever leads by records that are new has read of the cancellation there.
      if (!leadership.isLeading() && !(recordsAreNew && leadership.currentLeader() != null)) {
        enforcer.enforce();
      }
    }
    forgotten.look();
    looking = timers.after(reportMs / 2, this::look);
  }

  /** Machines of which a report came here, with their addresses. */
  public void addressed(String host, String endpoint) {
    enforcer.addressed(host, endpoint);
    forgotten.heard(host);
  }

  @Override
  public void close() {
    logs.close();
    looking.cancel();
  }
}
