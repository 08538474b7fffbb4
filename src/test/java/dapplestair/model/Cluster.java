package dapplestair.model;

import dapplestair.work.Report;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One state of the whole model: workers, leaders, records, and what is in the network. */
final class Cluster {
  /** The record of the task's attempts; {@code number} 0 when none is on record. */
  record Recorded(long lastNumber, long number, int machine, long session) {
    static final Recorded NOTHING = new Recorded(0, 0, 0, 0);
  }

  final Worker[] workers;
  final Leader[] leaders;
  final List<Set<Message>> messages = new ArrayList<>();
  final List<Set<Report>> reports = new ArrayList<>();

  private final boolean successor;

  // The state service.
  int leaderKey;
  boolean cancelled;
  Recorded recorded = Recorded.NOTHING;

  boolean raisedByOther;

  // What was concluded so far, by anybody: it has to hold for ever.
  final boolean[] proved;
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
    successor = bounds.successor();
    proved = new boolean[bounds.attempts()];
  }

  /** A copy whose parts are shared until they are replaced. */
  Cluster(Cluster other) {
    workers = other.workers.clone();
    leaders = other.leaders.clone();
    successor = other.successor;
    messages.addAll(other.messages);
    reports.addAll(other.reports);
    leaderKey = other.leaderKey;
    cancelled = other.cancelled;
    recorded = other.recorded;
    raisedByOther = other.raisedByOther;
    proved = other.proved.clone();
    cancellationProved = other.cancellationProved;
  }

  /** A worker to be changed. */
  Worker worker(int machine) {
    workers[machine] = new Worker(workers[machine]);
    return workers[machine];
  }

  /** A leader to be changed. */
  Leader leader(int index) {
    leaders[index] = new Leader(leaders[index]);
    return leaders[index];
  }

  void proved(List<Long> numbers) {
    numbers.forEach(n -> proved[(int) (n - 1)] = true);
  }

  /** True while the second leader has not begun. */
  boolean successorMayCome() {
    return successor && leaderKey == 0;
  }

  /** True when some leader waits for the worker's answer to this message. */
  boolean awaited(int machine, Message message) {
    for (Leader l : leaders) {
      Leader.Call call = l.machines[machine].call;
      if (call != null && call.response() == null && call.message().equals(message)) {
        return true;
      }
    }
    return false;
  }

  /** True when this report may still tell some leader something. */
  boolean matters(int machine, Report r) {
    if (successorMayCome()) {
      return true;
    }
    for (Leader l : leaders) {
      if (l.leading && r.isNewerThan(l.machines[machine].session, l.machines[machine].tick)) {
        return true;
      }
    }
    return false;
  }

  /** The first rule that is broken, or null. */
  String broken() {
    int running = 0;
    for (Worker w : workers) {
      for (int n = 1; n <= proved.length; n++) {
        if (!w.running(n)) {
          continue;
        }
        running++;
        if (proved[n - 1]) {
          return "attempt " + n + " runs on " + w.host + " after a proof that it is gone";
        }
        if (cancellationProved) {
          return "attempt " + n + " runs on " + w.host + " though the job was proved cancelled";
        }
      }
    }
    return running > 1 ? "two attempts of one task run" : null;
  }
}
