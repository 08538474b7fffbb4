package dapplestair.node;

import dapplestair.cancellations.Cancellations;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Ledger;
import dapplestair.machines.MachineTypes;
import dapplestair.peers.PeerStatus;
import dapplestair.relay.Relay;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.submissions.SubmissionHandler;
import dapplestair.workers.WorkerManager;

/** What a controller says of itself: to its peers, at `/up`, and in the summary line. */
final class StatusReporter {
  private final Leadership leadership;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final SubmissionHandler submissions;
  private final Cancellations cancellations;
  private final Relay relay;
  private final StateClient state;
  private final Replica replica;
  private final MachineTypes types;

  StatusReporter(CoreComponents core) {
    this.leadership = core.leadership;
    this.ledger = core.ledger;
    this.workers = core.workers;
    this.submissions = core.submissions;
    this.cancellations = core.cancellations;
    this.relay = core.relay;
    this.state = core.state;
    this.replica = core.replica;
    this.types = core.types;
  }

  /** True when it can take requests now. */
  boolean able() {
    return ready() && state.unreachableMs() == 0;
  }

  private boolean ready() {
    return replica.isReady() && types.known();
  }

  PeerStatus toPeers() {
    return new PeerStatus(
        leadership.isLeading() ? leadership.term() : leadership.highestTermSeen(),
        leadership.currentLeader(),
        state.isReachable(),
        ready(),
        workers.beatsLately(),
        (float) state.demandPutsPerSecond());
  }

  /** Before the records were read once nothing is known at all. */
  private String knownTo() {
    long ms = cancellations.ageMs();
    return ms > Integer.MAX_VALUE ? "never" : "%.1f s".formatted(ms / 1000.0);
  }

  String line() {
    String line =
        ("%s, %d jobs, %d attempts, %d machines, %d transactions waiting; puts: %s; longest without an answer: %.0f s; "
                + "cancellations known to %s ago, %d told here not proved done, the oldest for %.0f s")
            .formatted(
                leadership.isLeading() ? "leading" : "following " + leadership.currentLeader(),
                ledger.jobs().size(),
                ledger.attemptCount(),
                workers.hosts().size(),
                state.queuedCount(),
                state.takePutCounts(),
                submissions.unansweredMs() / 1000.0,
                knownTo(),
                cancellations.open(),
                cancellations.openMs() / 1000.0);
    if (relay.isActive()) {
      line += "; connections spread, %d reports relayed".formatted(relay.relayedReports());
    }
    return leadership.isLeading()
        ? "%s; starts refused: %s, tasks unaccounted for: %d; served least: %s; largest: %s"
            .formatted(
                line,
                ledger.refusedStarts(),
                workers.unaccountedTasks(),
                ledger.jobStatistics().worstServedSummary(),
                ledger.jobStatistics().longestWaitSummary())
        : line;
  }
}
