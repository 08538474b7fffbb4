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
  private static final String CONFIRM_TOPIC = "withdrawing";

  // Answers to the latter.
  private static final byte KNOWN = 1;
  private static final byte HANDLED_BY_LEADER = 2;
  private static final byte PROVED_ABSENT = 3;

  /** Told of cancellations that others confirmed. */
  public interface Listener {
    /** This job is over for good, since its user cancelled it. */
    void onCancelled(String ref);

    /** Where its tasks may be, by the records as this controller has them. */
    List<Cancellation.TaskLocation> taskLocations(String ref);

    /** True when this controller leads and has all attempts at hand. */
    boolean leadsWithAllAttempts();

    /** True when this controller leads and nothing of the job is left anywhere. */
    boolean isProvedAbsent(String ref);
  }

  private record PendingConfirmation(String ref, Runnable onConfirmed) {}

  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final Peers peers;
  private final Leadership leadership;
  private final Listener listener;
  private final KnownCancellations knownCancellations;
  private final CancellationWatermark watermark;
  private final CancellationLogSync logSync;
  private final CancellationEnforcer enforcer;
  private final ForgottenMachines forgottenMachines;
  private final OpenCancellations openCancellations;
  private final long processId;
  private final long reportMs;
  private final long renewalWindowMs;
  private final long retentionMs;
  private final LongSupplier stateReadAtMs;
  private List<PendingConfirmation> pendingConfirmations = new ArrayList<>();
  private long lastLearnedAtMs = CancellationWatermark.NEVER;
  private Cancellable followUpTimer = () -> {};

  /** {@code stateReadAtMs} is when the newest read of the records was asked for. */
  public Cancellations(
      Clock clock,
      Timers timers,
      HttpCaller http,
      CloudClient cloud,
      Settings settings,
      Peers peers,
      Leadership leadership,
      LongSupplier stateReadAtMs,
      Listener listener) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.peers = peers;
    this.leadership = leadership;
    this.processId = leadership.processId() | 1;
    this.stateReadAtMs = stateReadAtMs;
    this.listener = listener;
    this.reportMs = settings.workers().reportMs();
    this.renewalWindowMs = renewalWindowMs(settings.workers());
    this.retentionMs = 2 * settings.workers().cancelMs();
    this.knownCancellations = new KnownCancellations(clock, retentionMs);
    this.openCancellations = new OpenCancellations(clock, knownCancellations, 2 * reportMs);
    this.watermark =
        new CancellationWatermark(
            clock, stateReadAtMs, settings.peers().stream().map(Settings.Peer::member).toList());
    this.logSync =
        new CancellationLogSync(
            clock,
            timers,
            settings,
            peers,
            leadership,
            processId,
            knownCancellations,
            watermark,
            this::learn);
    this.enforcer =
        new CancellationEnforcer(
            clock, timers, http, cloud, settings, openCancellations, launchWindowMs());
    this.forgottenMachines =
        new ForgottenMachines(
            clock,
            timers,
            cloud,
            settings,
            peers,
            () -> stateReadAtMs.getAsLong() <= CancellationWatermark.NEVER);
  }

  /**
   * For how long a lease may be kept by one who knows nothing newer: what is kept then still ends
   * in time. A sixteenth of a lease is left for clocks that drift and for what is under way.
   */
  static long renewalWindowMs(Settings.Workers workers) {
    return Math.max(timeLeftAfterLeaseMs(workers), minRenewalWindowMs(workers));
  }

  private static long timeLeftAfterLeaseMs(Settings.Workers workers) {
    return workers.cancelMs() - workers.leaseMs() - workers.leaseMs() / 16;
  }

  private static long minRenewalWindowMs(Settings.Workers workers) {
    return 2 * workers.reportMs();
  }

  /** Begins to ask and to answer peers. */
  public void start() {
    Settings.Workers workers = settings.workers();
    if (timeLeftAfterLeaseMs(workers) < minRenewalWindowMs(workers)) {
      LOG.warn(
          "cancel_s ({} s) is not above lease_s ({} s) by two reports and more: while controllers "
              + "cannot reach the state service or each other, a cancelled job may hold its machines "
              + "for up to {} s",
          workers.cancelMs() / 1000.0,
          workers.leaseMs() / 1000.0,
          (renewalWindowMs + workers.leaseMs() + workers.leaseMs() / 16) / 1000.0);
    }
    peers.questions().answer(CONFIRM_TOPIC, this::handleConfirmations);
    logSync.start();
    forgottenMachines.start();
    followUp();
  }

  // ---- who knows ----

  /** True when every confirmed cancellation old enough to matter is known here. */
  public boolean mayRenew() {
    return !knownCancellations.hasForgottenTooEarly() && knowledgeAgeMs() <= renewalWindowMs;
  }

  /** True when what is known is new enough to start tasks by. */
  public boolean mayLaunch() {
    return knowledgeAgeMs() <= launchWindowMs();
  }

  /** For how long after a cancellation a launch of its job may still be sent. */
  public long launchWindowMs() {
    return renewalWindowMs / 4;
  }

  /** How old the knowledge of all cancellations is, milliseconds. */
  public long knowledgeAgeMs() {
    return watermark.ageMs();
  }

  /** True when this job's user was told that it is cancelled, or the job is over otherwise. */
  public boolean isKnown(String ref) {
    return knownCancellations.contains(ref);
  }

  /** Attempts of such jobs that may be on a machine, by the records, in a session of its worker. */
  public List<KnownCancellations.CancelledTask> tasksOn(String host, long session) {
    return knownCancellations.tasksOn(host).stream()
        .filter(task -> task.location().session() == session)
        .toList();
  }

  /** When a cancellation was last learned of that may not be carried out yet. */
  public long lastLearnedAtMs() {
    return lastLearnedAtMs;
  }

  /** For how long a cancellation counts: after that nothing of it can be left. */
  public long retentionMs() {
    return retentionMs;
  }

  /** Cancellations told here that are not known to be carried out. */
  public int openCount() {
    return openCancellations.size();
  }

  /** For how long the oldest of them has been open, milliseconds. */
  public long oldestOpenMs() {
    return openCancellations.oldestAgeMs();
  }

  /** The records say that a job is over: cancelled, or done. */
  public void recordRemovedJob(String ref) {
    knownCancellations.learn(ref, 0, listener.taskLocations(ref));
    lastLearnedAtMs = clock.now();
  }

  // ---- telling ----

  /**
   * A user is about to be told, by whatever question, that this job is cancelled. All that the
   * records held of the job at that moment has been read. Whoever can be asked now knows of it
   * before the user does, so that the end of this controller right afterwards loses nothing.
   */
  public void confirm(String ref, Runnable onConfirmed) {
    if (knownCancellations.isInLog(ref)) {
      onConfirmed.run();
      return;
    }
    if (pendingConfirmations.isEmpty()) {
      // All that come in the same turn share one message.
      timers.after(0, this::confirmPending);
    }
    pendingConfirmations.add(new PendingConfirmation(ref, onConfirmed));
  }

  private void confirmPending() {
    List<PendingConfirmation> confirmations = pendingConfirmations;
    pendingConfirmations = new ArrayList<>();
    for (PendingConfirmation confirmation : confirmations) {
      List<Cancellation.TaskLocation> locations = listener.taskLocations(confirmation.ref());
      knownCancellations.learn(confirmation.ref(), 0, locations);
      knownCancellations.markToldToUser(confirmation.ref());
      if (knownCancellations.appendToLog(confirmation.ref()) && !locations.isEmpty()) {
        openCancellations.addOwn(confirmation.ref());
        lastLearnedAtMs = clock.now();
      }
    }
    List<String> refs = confirmations.stream().map(PendingConfirmation::ref).distinct().toList();
    int[] outstanding = {1};
    Runnable countDown =
        () -> {
          if (--outstanding[0] == 0) {
            confirmations.forEach(confirmation -> confirmation.onConfirmed().run());
          }
        };
    for (Settings.Peer peer : settings.peers()) {
      if (peers.alive(peer.member())) {
        outstanding[0]++;
        informPeer(peer.member(), refs, countDown);
      }
    }
    countDown.run();
  }

  /** A short bound: whoever does not answer is no reason to keep a user waiting. */
  private void informPeer(String member, List<String> refs, Runnable onAnswered) {
    List<CancellationCodec.LogEntry> entries =
        refs.stream()
            .map(knownCancellations::get)
            .filter(
                cancellation ->
                    cancellation != null
                        && cancellation.locations().size() <= CancellationCodec.MAX_LOCATIONS)
            .limit(CancellationCodec.MAX_ENTRIES)
            .map(this::toLogEntry)
            .toList();
    byte[] body =
        CancellationCodec.encode(
            new CancellationCodec.LogResponse(
                0, 0, processId, leadership.highestTermSeen(), false, entries));
    if (body == null) {
      // Too much for one message: it is asked for, part by part.
      timers.after(0, onAnswered);
      return;
    }
    peers
        .questions()
        .ask(
            member,
            CONFIRM_TOPIC,
            body,
            reportMs / 20,
            reply -> {
              if (reply != null && reply.length == entries.size()) {
                for (int i = 0; i < reply.length; i++) {
                  recordProgress(entries.get(i).ref(), reply[i]);
                }
              }
              onAnswered.run();
            });
  }

  private CancellationCodec.LogEntry toLogEntry(Cancellation cancellation) {
    return new CancellationCodec.LogEntry(
        Math.max(1, knownCancellations.logNumber(cancellation.ref())),
        cancellation.ref(),
        clock.now() - cancellation.knownSinceMs(),
        cancellation.locations());
  }

  private void recordProgress(String ref, byte progress) {
    if (progress == PROVED_ABSENT) {
      openCancellations.remove(ref);
    } else if (progress == HANDLED_BY_LEADER) {
      openCancellations.recordLeaderConfirmation(ref);
    }
  }

  private void handleConfirmations(byte[] body, Consumer<byte[]> reply) {
    CancellationCodec.LogResponse message = CancellationCodec.decodeResponse(body);
    if (message == null) {
      peers.questions().refused();
      return;
    }
    leadership.observeTerm(message.term());
    byte[] progress = new byte[message.entries().size()];
    int index = 0;
    for (CancellationCodec.LogEntry entry : message.entries()) {
      learn(entry, message.logId());
      progress[index++] = progressOf(entry.ref());
    }
    reply.accept(progress);
  }

  private byte progressOf(String ref) {
    // A leader that still reads what jobs that are over have on machines may not know of this one's
    // tasks, and in an outage it reads no more: who waits for it then waits in vain.
    if (!listener.leadsWithAllAttempts()) {
      return KNOWN;
    }
    return listener.isProvedAbsent(ref) ? PROVED_ABSENT : HANDLED_BY_LEADER;
  }

  private void learn(CancellationCodec.LogEntry entry, long confirmingProcess) {
    knownCancellations.learn(entry.ref(), entry.ageMs(), entry.locations());
    if (knownCancellations.markToldToUser(entry.ref())) {
      // Also when it was known from the records: its user hears of it only now.
      lastLearnedAtMs = clock.now();
      if (!entry.locations().isEmpty()) {
        openCancellations.addFromPeer(entry.ref(), confirmingProcess, entry.ageMs());
      }
    }
    listener.onCancelled(entry.ref());
  }

  // ---- carrying out ----

  /** Goes on with what was told here until it is proved to be carried out, by whomever. */
  private void followUp() {
    knownCancellations.removeExpired();
    boolean recordsAreRecent = clock.now() - stateReadAtMs.getAsLong() < reportMs;
    openCancellations.removeIf(
        ref ->
            !knownCancellations.contains(ref)
                || recordsAreRecent && listener.taskLocations(ref).isEmpty()
                || listener.isProvedAbsent(ref));
    openCancellations.adoptOrphaned(owner -> watermark.isAlive(owner, peers::alive));
    List<String> refs = openCancellations.ownRefs();
    if (!refs.isEmpty()) {
      for (Settings.Peer peer : settings.peers()) {
        if (peers.alive(peer.member())) {
          informPeer(peer.member(), refs, () -> {});
        }
      }
      // Whoever leads by records that are new has read of the cancellation there.
      if (!leadership.isLeading() && !(recordsAreRecent && leadership.currentLeader() != null)) {
        enforcer.enforce();
      }
    }
    forgottenMachines.runTurn();
    followUpTimer = timers.after(reportMs / 2, this::followUp);
  }

  /** Machines of which a report came here, with their addresses. */
  public void recordAddress(String host, String endpoint) {
    enforcer.recordAddress(host, endpoint);
    forgottenMachines.recordReport(host);
  }

  @Override
  public void close() {
    logSync.close();
    followUpTimer.cancel();
  }
}
