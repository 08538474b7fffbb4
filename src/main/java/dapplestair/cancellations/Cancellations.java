package dapplestair.cancellations;

import dapplestair.cloud.CloudClient;
import dapplestair.leadership.Leadership;
import dapplestair.pause.PauseDetector;
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
 * Tracks the cancellations that were confirmed to users, and makes them known to all controllers. A
 * controller informs its peers before it confirms a cancellation to a user, and continues until the
 * tasks are proved to be gone. A controller that may not know of a cancellation does not renew
 * workers' leases. The proof is in docs/cancellations.md.
 */
public final class Cancellations implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Cancellations.class);

  /** Topic of cancellations that are about to be confirmed to users. */
  private static final String CONFIRM_TOPIC = "withdrawing";

  // Replies on CONFIRM_TOPIC, one byte for each cancellation.
  private static final byte KNOWN = 1;
  private static final byte HANDLED_BY_LEADER = 2;
  private static final byte PROVED_ABSENT = 3;

  /** Hears of cancellations that other controllers confirmed, and answers what is on record. */
  public interface Listener {
    /** Called when this job is over for good because its user cancelled it. */
    void onCancelled(String ref);

    /** Returns where tasks of the job may be, according to the records read by this controller. */
    List<Cancellation.TaskLocation> taskLocations(String ref);

    /** Returns true if this controller leads and has read all recorded attempts. */
    boolean leadsWithAllAttempts();

    /** Returns true if this controller leads and no task of the job is left on any machine. */
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

  /** {@code stateReadAtMs} returns when the newest read of the records was requested. */
  public Cancellations(
      Clock clock,
      Timers timers,
      HttpCaller http,
      CloudClient cloud,
      Settings settings,
      Peers peers,
      Leadership leadership,
      PauseDetector pauses,
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
    this.renewalWindowMs = RenewalWindow.ofMs(settings.workers());
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
            clock, timers, http, cloud, settings, openCancellations, pauses, launchWindowMs());
    this.forgottenMachines =
        new ForgottenMachines(
            clock,
            timers,
            cloud,
            settings,
            peers,
            pauses,
            () -> stateReadAtMs.getAsLong() <= CancellationWatermark.NEVER);
  }

  /** Starts to send requests to peers and to answer theirs. */
  public void start() {
    Settings.Workers workers = settings.workers();
    if (RenewalWindow.isLongerThanSettingsAllow(workers)) {
      LOG.warn(
          "cancel_s ({} s) does not exceed lease_s ({} s) plus a sixteenth by at least two report "
              + "intervals: while controllers cannot reach the state service or each other, a "
              + "cancelled job may hold its machines for up to {} s",
          workers.cancelMs() / 1000.0,
          workers.leaseMs() / 1000.0,
          (renewalWindowMs + workers.leaseMs() + workers.leaseMs() / 16) / 1000.0);
    }
    peers.requests().handle(CONFIRM_TOPIC, this::handleConfirmations);
    logSync.start();
    forgottenMachines.start();
    followUp();
  }

  // ---- knowledge of cancellations ----

  /** Returns true if every confirmed cancellation that is old enough to matter is known here. */
  public boolean mayRenew() {
    return !knownCancellations.hasForgottenTooEarly() && knowledgeAgeMs() <= renewalWindowMs;
  }

  /** Returns true if the knowledge of cancellations is recent enough to launch tasks. */
  public boolean mayLaunch() {
    return knowledgeAgeMs() <= launchWindowMs();
  }

  /** Returns how long after a cancellation a launch of the job may still be sent. */
  public long launchWindowMs() {
    return renewalWindowMs / 4;
  }

  /** Returns how old the knowledge of all cancellations is, in milliseconds. */
  public long knowledgeAgeMs() {
    return watermark.ageMs();
  }

  /** Returns true if the job is known to be over, by a confirmed cancellation or otherwise. */
  public boolean isKnown(String ref) {
    return knownCancellations.contains(ref);
  }

  /** Returns recorded attempts of ended jobs that may be on a machine in this worker session. */
  public List<KnownCancellations.CancelledTask> tasksOn(String host, long session) {
    return knownCancellations.tasksOn(host).stream()
        .filter(task -> task.location().session() == session)
        .toList();
  }

  /** Returns when this controller last learned of a cancellation that may not be complete yet. */
  public long lastLearnedAtMs() {
    return lastLearnedAtMs;
  }

  /** Returns how long a cancellation is retained. After that, none of its tasks can be left. */
  public long retentionMs() {
    return retentionMs;
  }

  /** Returns the number of cancellations followed up here that are not known to be complete. */
  public int openCount() {
    return openCancellations.size();
  }

  /** Returns for how long the oldest of the open cancellations has been open, in milliseconds. */
  public long oldestOpenMs() {
    return openCancellations.oldestAgeMs();
  }

  /** Learns from the records that a job is over: cancelled, or done. */
  public void recordRemovedJob(String ref) {
    knownCancellations.learn(ref, 0, listener.taskLocations(ref));
    lastLearnedAtMs = clock.now();
  }

  // ---- confirming to users and informing peers ----

  /**
   * Prepares the confirmation to a user that this job is cancelled, whatever the user's request
   * was, and then runs {@code onConfirmed}. The caller has read everything that the records held of
   * the job at that time. All peers that can be reached learn of the cancellation before the user
   * does, so that nothing is lost if this controller ends right afterwards.
   */
  public void confirm(String ref, Runnable onConfirmed) {
    if (knownCancellations.isInLog(ref)) {
      onConfirmed.run();
      return;
    }
    if (pendingConfirmations.isEmpty()) {
      // All confirmations of the same turn of the event loop share one message.
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
      if (peers.isAlive(peer.member())) {
        outstanding[0]++;
        informPeer(peer.member(), refs, countDown);
      }
    }
    countDown.run();
  }

  /** Sends cancellations to a peer. A short timeout keeps a silent peer from delaying the user. */
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
      // Too large for one message: the peer fetches the log in parts.
      timers.after(0, onAnswered);
      return;
    }
    peers
        .requests()
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
      peers.requests().countRefusedMessage();
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
    // A leader that is still reading the attempts of ended jobs may not know of this job's tasks,
    // and cannot read on in an outage of the state service, so nobody may rely on it to end them.
    if (!listener.leadsWithAllAttempts()) {
      return KNOWN;
    }
    return listener.isProvedAbsent(ref) ? PROVED_ABSENT : HANDLED_BY_LEADER;
  }

  private void learn(CancellationCodec.LogEntry entry, long confirmingProcess) {
    knownCancellations.learn(entry.ref(), entry.ageMs(), entry.locations());
    if (knownCancellations.markToldToUser(entry.ref())) {
      // Applies even if the records had shown the cancellation: its user hears of it only now.
      lastLearnedAtMs = clock.now();
      if (!entry.locations().isEmpty()) {
        openCancellations.addFromPeer(entry.ref(), confirmingProcess, entry.ageMs());
      }
    }
    listener.onCancelled(entry.ref());
  }

  // ---- following up ----

  /** Follows up on open cancellations until each is proved to be complete, by any controller. */
  private void followUp() {
    knownCancellations.removeExpired();
    boolean recordsAreRecent = clock.now() - stateReadAtMs.getAsLong() < reportMs;
    openCancellations.removeIf(
        ref ->
            !knownCancellations.contains(ref)
                || recordsAreRecent && listener.taskLocations(ref).isEmpty()
                || listener.isProvedAbsent(ref));
    openCancellations.adoptOrphaned(owner -> watermark.isAlive(owner, peers::isAlive));
    List<String> refs = openCancellations.ownRefs();
    if (!refs.isEmpty()) {
      for (Settings.Peer peer : settings.peers()) {
        if (peers.isAlive(peer.member())) {
          informPeer(peer.member(), refs, () -> {});
        }
      }
      // A leader that works from recent records has read the cancellation there.
      if (!leadership.isLeading() && !(recordsAreRecent && leadership.currentLeader() != null)) {
        enforcer.enforce();
      }
    }
    forgottenMachines.runTurn();
    followUpTimer = timers.after(reportMs / 2, this::followUp);
  }

  /** Records that a machine has reported to this controller, with its address. */
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
