package dapplestair.node;

import dapplestair.accepted.AcceptedJobs;
import dapplestair.cancellations.Cancellations;
import dapplestair.cloud.CloudClient;
import dapplestair.events.EventLog;
import dapplestair.events.Events;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.ledger.Ledger;
import dapplestair.machines.MachineTypes;
import dapplestair.metrics.Metrics;
import dapplestair.peers.PeerStatus;
import dapplestair.peers.Peers;
import dapplestair.placement.RuntimeEstimates;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import dapplestair.relay.Relay;
import dapplestair.settings.OperatorSettings;
import dapplestair.settings.Settings;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.submissions.RequestRelay;
import dapplestair.submissions.SubmissionHandler;
import dapplestair.workers.WorkerManager;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What every controller runs, whoever leads: the state service, its peers, the ledger, the workers.
 */
final class CoreComponents implements AutoCloseable {
  final StateClient state;
  final MachineTypes types = new MachineTypes();
  final Metrics metrics = new Metrics();
  final RuntimeEstimates estimates = new RuntimeEstimates();
  final Peers peers;
  final Leadership leadership;
  final CloudClient cloud;
  final LedgerCallbackRouter callbacks;
  final TermTimers termTimers;
  final Ledger ledger;
  final Cancellations cancellations;
  final AcceptedJobs accepted;
  final Relay relay;
  final WorkerManager workers;

  /** Null where operators are not served. */
  final EventLog log;

  final Events events;
  final Replica replica;
  final RequestRelay requestRelay;
  final SubmissionHandler submissions;

  /**
   * Who hears of what the core duties find out.
   *
   * @param ownStatus what peers are told
   * @param peerStatus hears what a peer told
   */
  record Listeners(
      Supplier<PeerStatus> ownStatus,
      Consumer<PeerStatus> peerStatus,
      Leadership.Listener leadership,
      Cancellations.Listener cancellations,
      WorkerManager.Listener workers,
      Replica.Listener replica) {}

  CoreComponents(
      Settings settings,
      OperatorSettings operatorSettings,
      ControllerEnvironment environment,
      boolean logsEvents,
      Listeners listeners) {
    Clock clock = environment.clock();
    Timers timers = environment.timers();
    state = new StateClient(clock, timers, environment.http(), settings);
    peers =
        new Peers(
            clock,
            timers,
            environment.peers(),
            settings,
            listeners.ownStatus,
            listeners.peerStatus);
    leadership =
        new Leadership(
            clock, timers, environment.random(), settings, state, peers, listeners.leadership);
    callbacks = new LedgerCallbackRouter(clock, metrics, estimates);
    termTimers = new TermTimers(timers, leadership);
    ledger =
        new Ledger(
            clock, termTimers, settings, state, leadership, environment.launchBatches(), callbacks);
    cloud = new CloudClient(clock, timers, environment.http(), settings);
    cancellations =
        new Cancellations(
            clock,
            timers,
            environment.http(),
            cloud,
            settings,
            peers,
            leadership,
            this::recordsAsOf,
            listeners.cancellations);
    accepted =
        new AcceptedJobs(timers, settings, peers, leadership::isLeading, this::recordsPosition);
    relay =
        new Relay(
            clock,
            timers,
            environment.http(),
            settings,
            operatorSettings.relayAbove(),
            leadership,
            peers);
    workers =
        new WorkerManager(
            clock,
            timers,
            relay,
            settings,
            leadership,
            peers,
            state,
            types,
            ledger,
            cancellations,
            this::notOverWhenRead,
            listeners.workers);
    log = logsEvents ? new EventLog(clock) : null;
    events = logsEvents ? log : Events.OFF;
    replica =
        new Replica(state, timers, environment.random(), leadership::isLeading, listeners.replica);
    requestRelay = new RequestRelay(peers, settings.workers().reportMs() / 4);
    submissions =
        new SubmissionHandler(
            clock, settings, state, replica, ledger, types, cancellations, requestRelay, metrics);
  }

  private long recordsAsOf() {
    return replica.asOfMs();
  }

  private long recordsPosition() {
    return replica.appliedEpoch();
  }

  /**
   * A job that is not in the ledger was not over when the records were last read. It matters behind
   * a cut only: while a peer is served, workers with such jobs are better off with a controller
   * that can read of them, and its leader would take them for silent if they stayed here.
   */
  private boolean notOverWhenRead(String job) {
    return !peers.hasReadyPeer() && (accepted.unread(job) || replica.heldBeforeRestart(job));
  }

  @Override
  public void close() {
    workers.close();
    relay.close();
    cancellations.close();
    leadership.close();
    peers.close();
  }
}
