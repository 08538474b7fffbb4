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

/** Reports the status of this controller to its peers, at `/up`, and in the summary line. */
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
    this.workers = core.workerManager;
    this.submissions = core.submissionHandler;
    this.cancellations = core.cancellations;
    this.relay = core.relay;
    this.state = core.state;
    this.replica = core.replica;
    this.types = core.machineTypes;
  }

  /** Returns whether this controller can take requests now. */
  boolean canTakeRequests() {
    return isReady() && state.unreachableMs() == 0;
  }

  private boolean isReady() {
    return replica.isReady() && types.isLoaded();
  }

  PeerStatus peerStatus() {
    return new PeerStatus(
        leadership.isLeading() ? leadership.term() : leadership.highestTermSeen(),
        leadership.currentLeader(),
        state.isReachable(),
        isReady(),
        workers.recentReportCount(),
        (float) state.demandPutsPerSecond());
  }

  /**
   * Formats the age of the knowledge of cancellations; "never" until the records have been read
   * once, since no cancellation is known before.
   */
  private String formatCancellationsAge() {
    long ageMs = cancellations.knowledgeAgeMs();
    return ageMs > Integer.MAX_VALUE ? "never" : "%.1f s".formatted(ageMs / 1000.0);
  }

  String summaryLine() {
    String summary =
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
                formatCancellationsAge(),
                cancellations.openCount(),
                cancellations.oldestOpenMs() / 1000.0);
    if (relay.isActive()) {
      summary += "; connections spread, %d reports relayed".formatted(relay.relayedReports());
    }
    return leadership.isLeading()
        ? "%s; starts refused: %s, tasks unaccounted for: %d; served least: %s; largest: %s"
            .formatted(
                summary,
                ledger.refusedStarts(),
                workers.unaccountedTasks(),
                ledger.jobStatistics().worstServedSummary(),
                ledger.jobStatistics().longestWaitSummary())
        : summary;
  }
}
