package dapplestair.workers;

import dapplestair.cancellations.Cancellations;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Ledger;
import dapplestair.machines.MachineTypes;
import dapplestair.peers.Peers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Exchange;
import dapplestair.ports.Timers;
import dapplestair.relay.Relay;
import dapplestair.settings.Settings;
import dapplestair.silence.LivenessReport;
import dapplestair.state.StateClient;
import dapplestair.work.Report;
import dapplestair.work.WorkerCommand;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/**
 * Manages all machines and their workers: which ones there are, how long each has been silent, and,
 * on the leader, the commands to them. Reports are answered by {@link ReportHandler}.
 */
public final class WorkerManager implements AutoCloseable {
  /** Receives changes of machines. */
  public interface Listener {
    /** Called when a machine's capacity, reclaim notice or reachability has changed. */
    void hostChanged(Host host);
  }

  /**
   * The topic of liveness reports between controllers. Controllers of older versions don't know it.
   */
  private static final String LIVENESS_TOPIC = "heard";

  private final Clock clock;
  private final Timers timers;
  private final Leadership leadership;
  private final Ledger ledger;
  private final Listener listener;
  private final long reportMs;
  private final HostRegistry hostRegistry;
  private final LivenessTracker liveness;
  private final CommandSender commandSender;
  private final ReportApplier applier;
  private final ReportHandler reportHandler;
  private final Peers peers;
  private Cancellable tickTimer = () -> {};
  private Cancellable sharingTimer = () -> {};
  private boolean leading;

  /**
   * Creates a manager without machines; {@code wasLiveWhenRead} returns true for a job that is not
   * in the ledger, but was not over when the records were last read.
   */
  public WorkerManager(
      Clock clock,
      Timers timers,
      Relay relay,
      Settings settings,
      Leadership leadership,
      Peers peers,
      StateClient state,
      MachineTypes types,
      Ledger ledger,
      Cancellations cancellations,
      Predicate<String> wasLiveWhenRead,
      Listener listener) {
    this.clock = clock;
    this.timers = timers;
    this.leadership = leadership;
    this.peers = peers;
    this.ledger = ledger;
    this.listener = listener;
    this.reportMs = settings.workers().reportMs();
    this.hostRegistry = new HostRegistry(clock);
    this.liveness = new LivenessTracker(clock, settings, hostRegistry);
    this.commandSender =
        new CommandSender(
            clock,
            timers,
            relay,
            settings,
            leadership,
            cancellations,
            hostRegistry,
            new CallReplyListener());
    this.applier =
        new ReportApplier(
            clock, leadership, types, ledger, liveness, commandSender, listener, this::isLeading);
    this.reportHandler =
        new ReportHandler(
            clock,
            timers,
            settings,
            leadership,
            peers,
            state,
            cancellations,
            hostRegistry,
            liveness,
            new LeaseRenewal(clock, commandSender, ledger, cancellations, wasLiveWhenRead),
            applier,
            relay,
            this::isLeading);
  }

  /** Begins to count reports, and to share with the other controllers which machines are heard. */
  public void start() {
    peers.requests().handle(LIVENESS_TOPIC, (body, reply) -> receiveLivenessReport(body));
    reportHandler.start();
    shareLiveness();
  }

  private void receiveLivenessReport(byte[] body) {
    LivenessReport livenessReport = LivenessReport.decode(body);
    if (livenessReport != null) {
      liveness.receive(livenessReport);
    }
  }

  private void shareLiveness() {
    LivenessReport livenessReport =
        liveness.createReport(leading && leadership.isLeading(), leadership.term());
    if (livenessReport.term() > 0 || !livenessReport.zoneAgesMs().isEmpty()) {
      peers.broadcast(LIVENESS_TOPIC, livenessReport.encode());
    }
    sharingTimer = timers.after(reportMs / 8, this::shareLiveness);
  }

  // ---- machines ----

  /** Returns all machines that are not proved to be gone. */
  public Collection<Host> hosts() {
    return hostRegistry.all();
  }

  /** Returns a machine by name, and adds it if it is not known yet. */
  public Host getOrCreateHost(String id) {
    return hostRegistry.getOrCreate(id);
  }

  /** Returns a machine by name, or null if it is not known. */
  public Host findHost(String id) {
    return hostRegistry.find(id);
  }

  /** Returns true when this machine was proved to be gone. */
  public boolean isGone(String id) {
    return hostRegistry.isGone(id);
  }

  /** Records that the machine is proved to be gone, with all tasks on it. */
  public void markGone(Host host) {
    if (host.isGone()) {
      return;
    }
    hostRegistry.markGone(host);
    ledger.markAllAbsent(host);
    hostRegistry.remove(host);
    listener.hostChanged(host);
  }

  /** Returns true when the machine was reached recently enough to be given work. */
  public boolean isResponsive(Host host) {
    return liveness.isResponsive(host);
  }

  /**
   * Returns true when this machine's zone has been heard without a gap for so long that this
   * machine should have been heard, too.
   */
  public boolean zoneHeardContinuously(Host host) {
    return liveness.zoneHeardContinuously(host);
  }

  /**
   * Returns true when the previous leader had proof that this machine is gone, but could not record
   * it. To this controller that is no proof; returning the machine to the cloud once more proves it
   * again.
   */
  public boolean goneByPreviousLeader(Host host) {
    return liveness.goneByPreviousLeader(host);
  }

  /**
   * Returns how long no machine in this zone has been heard while other zones were, or 0 when the
   * zone is heard or its silence is not conclusive.
   */
  public long zoneSilentMs(String zone) {
    return liveness.zoneSilentMs(zone);
  }

  /** Returns true when a machine is held in this zone, whether or not it is heard. */
  public boolean hasMachinesIn(String zone) {
    return liveness.hasMachinesIn(zone);
  }

  /** Returns true when this leader has recently reached one of the zone's machines. */
  public boolean isZoneHeard(String zone) {
    return liveness.isZoneHeard(zone);
  }

  /** Returns true when any worker has recently sent a report of its own accord. */
  public boolean hasRecentReports() {
    return liveness.hasRecentReports();
  }

  /** Returns how long this machine has not been heard. */
  public long silentMs(Host host) {
    return liveness.silentMs(host);
  }

  // ---- leading ----

  /** Begins to command the workers: the new token is sent to every known machine at once. */
  public void startLeading() {
    leading = true;
    commandSender.startLeading();
    for (Host host : hostRegistry.all()) {
      probe(host);
    }
    liveness.startLeading();
    tick();
  }

  /** Ceases to command the workers, and forgets all machines. */
  public void stopLeading() {
    leading = false;
    tickTimer.cancel();
    commandSender.stopLeading();
    hostRegistry.clear();
    liveness.clear();
  }

  /** Calls a machine to show it the token and to learn what runs on it. */
  public void probe(Host host) {
    if (host.endpoint != null && !host.isGone()) {
      commandSender.probe(host);
    }
  }

  private void tick() {
    long now = clock.now();
    liveness.beginTurn(reportMs / 8);
    for (Host host : List.copyOf(hostRegistry.all())) {
      host.setUnreachable(liveness.isSilent(host));
      host.setNotReporting(liveness.isNotReporting(host));
      repeatHalts(host, now);
      // A machine is probed at once when its report is late, or when it should be up and has not
      // shown a token of this term.
      boolean notAcknowledged = !host.termAcknowledged && host.endpoint != null;
      if (liveness.isOverdue(host) || (notAcknowledged && host.isExpectedUp())) {
        commandSender.probe(host);
      } else {
        commandSender.sendQueued(host);
      }
    }
    if (liveness.noWorkerReports() && peers.hasPeerHearingWorkers()) {
      // Only this controller is cut off from the workers: their leases would expire while it leads.
      leadership.resign("the workers are heard by others only");
      return;
    }
    tickTimer = timers.after(reportMs / 8, this::tick);
  }

  private void repeatHalts(Host host, long now) {
    for (Attempt attempt : host.attempts()) {
      if (attempt.halting()
          && !attempt.exited()
          && now - attempt.lastHaltSentAtMs() > reportMs / 2) {
        halt(attempt, attempt.job().isOver() ? 0 : attempt.windDownS());
      }
    }
  }

  // ---- commands ----

  /** Sends the command to start an attempt. */
  public void launch(Attempt attempt) {
    commandSender.queue(attempt.host(), new WorkerCommand.Launch(attempt.key(), attempt.number()));
  }

  /**
   * Sends the command to stop an attempt, leaving it {@code windDownS} seconds to save its
   * progress.
   */
  public void halt(Attempt attempt, double windDownS) {
    attempt.markHaltSent(clock.now(), windDownS);
    commandSender.queue(
        attempt.host(), new WorkerCommand.Halt(attempt.key(), attempt.number(), windDownS));
  }

  /** Sends the command to drop an exited attempt from a machine's reports. */
  public void clearAttempt(String hostId, String key, long number) {
    commandSender.queue(hostId, new WorkerCommand.Clear(key, number));
  }

  // ---- reports ----

  /** Answers a worker's report. */
  public void handleReport(Exchange exchange) {
    reportHandler.handle(exchange);
  }

  /**
   * Returns how often a task was reported that no attempt accounts for, since this process began.
   */
  public long unaccountedTasks() {
    return applier.unaccountedTasks();
  }

  /**
   * Returns the number of reports that this controller received recently, whether or not it leads.
   */
  public int recentReportCount() {
    return reportHandler.recentCount();
  }

  private boolean isLeading() {
    return leading;
  }

  /**
   * Applies the reports in machines' replies to commands; they prove as much as the reports that
   * workers send of their own accord.
   */
  private final class CallReplyListener implements CommandSender.Listener {
    @Override
    public void reportReceived(Host host, Report report) {
      applier.apply(host, report, true);
    }

    @Override
    public void becameUnresponsive(Host host) {
      listener.hostChanged(host);
    }
  }

  @Override
  public void close() {
    reportHandler.close();
    sharingTimer.cancel();
    tickTimer.cancel();
  }
}
