package dapplestair.model;

import dapplestair.work.Report;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One state of the whole model: workers, leaders, records, and the messages in the network. */
final class Cluster {
  /** The recorded attempt of the task; {@code number} is 0 when none is recorded. */
  record Recorded(long lastNumber, long number, int machine, long session) {
    static final Recorded NOTHING = new Recorded(0, 0, 0, 0);
  }

  final Worker[] workers;
  final Leader[] leaders;
  final List<Set<Message>> messages = new ArrayList<>();
  final List<Set<Report>> reports = new ArrayList<>();

  private final boolean hasSuccessor;

  // Contents of the state service.
  int leaderKeyHolder;
  boolean cancelled;
  Recorded recorded = Recorded.NOTHING;

  boolean raisedByNonLeader;

  // Conclusions that any leader has drawn so far; each has to hold for ever.
  final boolean[] provedGone;
  boolean cancellationProved;

  Cluster(Bounds bounds) {
    workers = new Worker[bounds.machines()];
    for (int i = 0; i < workers.length; i++) {
      workers[i] = new Worker(Leader.host(i), bounds.attempts());
      messages.add(new LinkedHashSet<>());
      reports.add(new LinkedHashSet<>());
    }
    leaders = new Leader[] {new Leader(1, workers.length), new Leader(2, workers.length)};
    leaders[0].leading = true;
    hasSuccessor = bounds.hasSuccessor();
    provedGone = new boolean[bounds.attempts()];
  }

  /** Creates a copy that shares its parts with the original until they are replaced. */
  Cluster(Cluster other) {
    workers = other.workers.clone();
    leaders = other.leaders.clone();
    hasSuccessor = other.hasSuccessor;
    messages.addAll(other.messages);
    reports.addAll(other.reports);
    leaderKeyHolder = other.leaderKeyHolder;
    cancelled = other.cancelled;
    recorded = other.recorded;
    raisedByNonLeader = other.raisedByNonLeader;
    provedGone = other.provedGone.clone();
    cancellationProved = other.cancellationProved;
  }

  /** Replaces a worker by a copy that may be changed, and returns the copy. */
  Worker mutableWorker(int machine) {
    workers[machine] = new Worker(workers[machine]);
    return workers[machine];
  }

  /** Replaces a leader by a copy that may be changed, and returns the copy. */
  Leader mutableLeader(int index) {
    leaders[index] = new Leader(leaders[index]);
    return leaders[index];
  }

  void addProofs(List<Long> numbers) {
    numbers.forEach(n -> provedGone[(int) (n - 1)] = true);
  }

  /** Returns true while there may be a second leader and it has not begun. */
  boolean canSuccessorBegin() {
    return hasSuccessor && leaderKeyHolder == 0;
  }

  /** Returns true if some leader waits for the worker's response to this message. */
  boolean isResponseAwaited(int machine, Message message) {
    for (Leader leader : leaders) {
      Leader.Call call = leader.machines[machine].call;
      if (call != null && call.response() == null && call.message().equals(message)) {
        return true;
      }
    }
    return false;
  }

  /** Returns true if this report may still change some leader's knowledge. */
  boolean mayInformLeader(int machine, Report report) {
    if (canSuccessorBegin()) {
      return true;
    }
    for (Leader leader : leaders) {
      if (leader.leading
          && report.isNewerThan(leader.machines[machine].session, leader.machines[machine].tick)) {
        return true;
      }
    }
    return false;
  }

  /** Returns a description of the first rule that this state breaks, or null. */
  String brokenRule() {
    int running = 0;
    for (Worker worker : workers) {
      for (int attempt = 1; attempt <= provedGone.length; attempt++) {
        if (!worker.isRunning(attempt)) {
          continue;
        }
        running++;
        if (provedGone[attempt - 1]) {
          return "attempt "
              + attempt
              + " runs on "
              + worker.host
              + " after a proof that it is gone";
        }
        if (cancellationProved) {
          return "attempt "
              + attempt
              + " runs on "
              + worker.host
              + " though the job was proved cancelled";
        }
      }
    }
    return running > 1 ? "two attempts of one task run" : null;
  }
}
