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
 * All machines with their workers: which there are, how long each has been silent, and, at the
 * leader, the orders to them. Reports are answered by {@link ReportHandler}.
 */
public final class WorkerManager implements AutoCloseable {
  /** Told of what happens to machines. */
  public interface Listener {
    /** A machine's room, notice or reachability changed. */
    void hostChanged(Host host);
  }

  /** What peers tell each other about whom they heard; older ones do not know the topic. */
  private static final String HEARD = "heard";

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
  private final ReportHandler reports;
  private final Peers peers;
  private Cancellable timer = () -> {};
  private Cancellable sharing = () -> {};
  private boolean leading;

  /**
   * A desk without machines; {@code notOverWhenRead} tells of a job that is not in the ledger that
   * it was not over when the records were last read.
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
      Predicate<String> notOverWhenRead,
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
            clock, timers, relay, settings, leadership, cancellations, hostRegistry, new Answers());
    this.applier =
        new ReportApplier(
            clock, leadership, types, ledger, liveness, commandSender, listener, this::isLeading);
    this.reports =
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
            new LeaseRenewal(clock, commandSender, ledger, cancellations, notOverWhenRead),
            applier,
            relay,
            this::isLeading);
  }

  /** Begins to count what comes, and to share what is heard. */
  public void start() {
    peers.requests().handle(HEARD, (body, reply) -> heardByOthers(body));
    reports.start();
    share();
  }

  private void heardByOthers(byte[] body) {
    LivenessReport livenessReport = LivenessReport.decode(body);
    if (livenessReport != null) {
      liveness.said(livenessReport);
    }
  }

  private void share() {
    LivenessReport livenessReport =
        liveness.account(leading && leadership.isLeading(), leadership.term());
    if (livenessReport.term() > 0 || !livenessReport.zoneAgesMs().isEmpty()) {
      peers.broadcast(HEARD, livenessReport.encode());
    }
    sharing = timers.after(reportMs / 8, this::share);
  }

  // ---- machines ----

  /** All machines not proved to be gone. */
  public Collection<Host> hosts() {
    return hostRegistry.all();
  }

  /** A machine by name, made known if it was not. */
  public Host host(String id) {
    return hostRegistry.host(id);
  }

  /** A machine by name, or null. */
  public Host known(String id) {
    return hostRegistry.known(id);
  }

  /** True when this machine was proved to be gone. */
  public boolean isGone(String id) {
    return hostRegistry.isGone(id);
  }

  /** The machine is proved to be gone, with everything on it. */
  public void gone(Host host) {
    if (host.gone()) {
      return;
    }
    hostRegistry.markGone(host);
    ledger.markAllAbsent(host);
    hostRegistry.remove(host);
    listener.hostChanged(host);
  }

  /** True when it has reported lately enough to be worth giving work to. */
  public boolean fresh(Host host) {
    return liveness.fresh(host);
  }

  /**
   * True when this machine's zone has been heard without a break for long enough that this machine
   * should have been, too.
   */
  public boolean zoneHeard(Host silent) {
    return liveness.zoneHeard(silent);
  }

  /**
   * True when the leader before had a proof that this machine is gone, which it could not put on
   * record. That is hearsay here; returning the machine once more proves it again.
   */
  public boolean saidGone(Host host) {
    return liveness.saidGone(host);
  }

  /** How long nothing was heard of any machine in this zone while others were; 0 if any was. */
  public long zoneSilentMs(String zone) {
    return liveness.zoneSilentMs(zone);
  }

  /** True when a machine is held in this zone, heard or not. */
  public boolean anyLeftIn(String zone) {
    return liveness.anyLeftIn(zone);
  }

  /** True when this leader reached one of the zone's machines lately. */
  public boolean zoneHeardNow(String zone) {
    return liveness.zoneHeardNow(zone);
  }

  /** True when some worker has reported by itself lately. */
  public boolean anyReports() {
    return liveness.anyReports();
  }

  /** How long nothing was heard of it. */
  public long silentMs(Host host) {
    return liveness.silentMs(host);
  }

  // ---- leading ----

  /** Begins to command: every known machine is shown the new token at once. */
  public void lead() {
    leading = true;
    commandSender.lead();
    for (Host host : hostRegistry.all()) {
      reach(host);
    }
    liveness.lead();
    tick();
  }

  /** Gives all up. */
  public void clear() {
    leading = false;
    timer.cancel();
    commandSender.clear();
    hostRegistry.clear();
    liveness.clear();
  }

  /** Shows the token to a machine, and learns what is on it. */
  public void reach(Host host) {
    if (host.endpoint != null && !host.gone()) {
      commandSender.probe(host);
    }
  }

  private void tick() {
    long now = clock.now();
    liveness.turn(reportMs / 8);
    for (Host host : List.copyOf(hostRegistry.all())) {
      host.setOutOfReach(liveness.silent(host));
      host.setMute(liveness.mute(host));
      repeatHalts(host, now);
      // A machine that misses its report is asked at once.
      boolean unknown = !host.acknowledged && host.endpoint != null;
      if (liveness.overdue(host) || (unknown && host.expectedUp())) {
        commandSender.probe(host);
      } else {
        commandSender.send(host);
      }
    }
    if (liveness.nobody() && peers.hasPeerHearingWorkers()) {
      // Cut off from the workers alone: their leases would run out while this controller leads.
      leadership.resign("the workers are heard by others only");
      return;
    }
    timer = timers.after(reportMs / 8, this::tick);
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

  // ---- orders ----

  /** Sends a launch. */
  public void launch(Attempt attempt) {
    commandSender.queue(attempt.host(), new WorkerCommand.Launch(attempt.key(), attempt.number()));
  }

  /** Sends a stop. */
  public void halt(Attempt attempt, double windDownS) {
    attempt.markHaltSent(clock.now(), windDownS);
    commandSender.queue(
        attempt.host(), new WorkerCommand.Halt(attempt.key(), attempt.number(), windDownS));
  }

  /** Takes an exited attempt out of a machine's reports. */
  public void clear(String hostId, String key, long number) {
    commandSender.queue(hostId, new WorkerCommand.Clear(key, number));
  }

  // ---- reports ----

  /** Answers a worker's report. */
  public void beat(Exchange exchange) {
    reports.beat(exchange);
  }

  /** How often a task was reported that no attempt accounts for, since this process began. */
  public long unaccountedTasks() {
    return applier.unaccounted();
  }

  /** Reports that came to this controller lately, whoever leads. */
  public int beatsLately() {
    return reports.lately();
  }

  private boolean isLeading() {
    return leading;
  }

  /** What machines answer to orders is worth as much as what they report by themselves. */
  private final class Answers implements CommandSender.Listener {
    @Override
    public void report(Host host, Report report) {
      applier.apply(host, report, true);
    }

    @Override
    public void unanswered(Host host) {
      listener.hostChanged(host);
    }
  }

  @Override
  public void close() {
    reports.close();
    sharing.cancel();
    timer.cancel();
  }
}
