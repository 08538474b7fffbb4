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
import dapplestair.pause.PauseDetector;
import dapplestair.peers.Incarnation;
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
 * Components that every controller runs, whether it leads or follows: the client of the state
 * service, the connections to peers, the ledger, and the workers.
 */
final class CoreComponents implements AutoCloseable {
  /** A shorter time without a turn of the event loop than this part of the hold is no pause. */
  private static final int PAUSES_PER_HOLD = 4;

  final StateClient state;
  final PauseDetector pauses;
  final MachineTypes machineTypes = new MachineTypes();
  final Metrics metrics = new Metrics();
  final RuntimeEstimates runtimeEstimates = new RuntimeEstimates();
  final Peers peers;
  final Leadership leadership;
  final CloudClient cloud;
  final LedgerCallbackRouter ledgerCallbacks;
  final TermTimers termTimers;
  final Ledger ledger;
  final Cancellations cancellations;
  final AcceptedJobs acceptedJobs;
  final Relay relay;
  final WorkerManager workerManager;

  /** Null if this controller does not serve operators. */
  final EventLog eventLog;

  final Events events;
  final Replica replica;
  final RequestRelay userRequestRelay;
  final SubmissionHandler submissionHandler;

  /**
   * Suppliers and listeners that the core components call back.
   *
   * @param ownStatus supplies the status that is sent to peers
   * @param peerStatus receives each status that a peer sends
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
      boolean recordsEvents,
      Listeners listeners) {
    Clock clock = environment.clock();
    Timers timers = environment.timers();
    Incarnation incarnation = Incarnation.draw(environment.random());
    state = new StateClient(clock, timers, environment.http(), settings);
    peers =
        new Peers(
            clock,
            timers,
            environment.peers(),
            settings,
            incarnation,
            listeners.ownStatus,
            listeners.peerStatus);
    leadership =
        new Leadership(
            clock,
            timers,
            environment.random(),
            settings,
            state,
            peers,
            incarnation,
            listeners.leadership);
    ledgerCallbacks = new LedgerCallbackRouter(clock, metrics, runtimeEstimates);
    termTimers = new TermTimers(timers, leadership);
    ledger =
        new Ledger(
            clock,
            termTimers,
            settings,
            state,
            leadership,
            environment.launchBatches(),
            ledgerCallbacks);
    Settings.Workers workers = settings.workers();
    pauses =
        new PauseDetector(
            clock,
            timers,
            Leadership.holdTtlMs(workers) / PAUSES_PER_HOLD,
            workers.reportMs(),
            this::recordsAsOfMs);
    cloud = new CloudClient(clock, timers, environment.http(), pauses, settings);
    cancellations =
        new Cancellations(
            clock,
            timers,
            environment.http(),
            cloud,
            settings,
            peers,
            leadership,
            pauses,
            this::recordsAsOfMs,
            listeners.cancellations);
    acceptedJobs =
        new AcceptedJobs(timers, settings, peers, leadership::isLeading, this::appliedEpoch);
    relay =
        new Relay(
            clock,
            timers,
            environment.http(),
            settings,
            operatorSettings.relayAbove(),
            leadership,
            peers);
    workerManager =
        new WorkerManager(
            clock,
            timers,
            relay,
            settings,
            leadership,
            peers,
            state,
            machineTypes,
            ledger,
            cancellations,
            this::wasUnfinishedAtLastRead,
            listeners.workers);
    eventLog =
        recordsEvents ? new EventLog(clock, Long.toHexString(incarnation.processId())) : null;
    events = recordsEvents ? eventLog : Events.OFF;
    replica =
        new Replica(state, timers, environment.random(), leadership::isLeading, listeners.replica);
    userRequestRelay = new RequestRelay(peers, settings.workers().reportMs() / 4);
    submissionHandler =
        new SubmissionHandler(
            clock,
            settings,
            state,
            replica,
            ledger,
            machineTypes,
            cancellations,
            userRequestRelay,
            metrics);
  }

  private long recordsAsOfMs() {
    return replica.asOfMs();
  }

  private long appliedEpoch() {
    return replica.appliedEpoch();
  }

  /**
   * Returns whether a job that is missing from the ledger was unfinished when the records were last
   * read, but always false while any peer reaches the state service and accepts requests: workers
   * with such jobs are then better served by that peer, which can read the records of these jobs,
   * and the leader would consider these workers silent if they kept reporting here. So the result
   * matters only while this controller is behind a network cut.
   */
  private boolean wasUnfinishedAtLastRead(String job) {
    return !peers.hasReadyPeer() && (acceptedJobs.isUnread(job) || replica.heldBeforeRestart(job));
  }

  @Override
  public void close() {
    pauses.close();
    workerManager.close();
    relay.close();
    cancellations.close();
    leadership.close();
    peers.close();
  }
}
