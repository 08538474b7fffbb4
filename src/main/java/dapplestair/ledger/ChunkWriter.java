package dapplestair.ledger;

import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;
import dapplestair.state.TxnOutcome;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the records of attempts: puts what changed, in as few puts as may be. */
final class ChunkWriter implements LaunchBatches.Chunks {
  private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);

  /** Told of what a put has settled. */
  interface Listener {
    /** A put of this job was made. True when the job is over, so that no more follow. */
    boolean written(Job job);

    /** The job is over, and one of its records may be removed now. */
    void over(Job job);

    /** The job was cancelled before this attempt's launch was sent. */
    void dropped(Attempt unsent);
  }

  /** What one put of a chunk carries. */
  private static final class Flush {
    boolean built;
    long number;
    final List<Attempt> planned = new ArrayList<>();
    final List<Attempt> completed = new ArrayList<>();
  }

  // Of the state service's puts: what nobody waits for may take no more, however much ends.
  private static final double BOOKKEEPING_SHARE = 0.12;

  private final LedgerContext context;
  private final double bookkeepingPerS;
  private final Set<Chunk> gathering = new LinkedHashSet<>();
  private final LaunchBatches launchBatches;
  private Listener listener;

  ChunkWriter(LedgerContext context, boolean withLaunchBatches) {
    this.context = context;
    this.launchBatches = new LaunchBatches(context, this, withLaunchBatches);
    this.bookkeepingPerS = BOOKKEEPING_SHARE * context.settings.state().writeRps();
  }

  void listen(Listener newListener) {
    listener = newListener;
  }

  void clear() {
    gathering.clear();
    launchBatches.clear();
  }

  /** The chunk differs from its record; {@code urgent} when launches wait for the put. */
  void dirty(Job job, Chunk chunk, boolean urgent) {
    if (!context.held()) {
      return;
    }
    chunk.dirty = true;
    chunk.urgent |= urgent;
    chunk.ends |= !urgent;
    if (chunk.inFlight) {
      return;
    }
    // Both may be queued for one chunk: launches must not wait behind a put that nobody waits for.
    if (urgent && !chunk.launchQueued) {
      chunk.launchQueued = true;
      boolean shared = job.spec().isService() || single(job);
      context.timers.after(
          0, shared ? () -> launchBatches.add(job, chunk) : () -> alone(job, chunk));
    } else if (!urgent && gathering.add(chunk)) {
      context.timers.after(gatherMs(), () -> enqueue(job, chunk, Priority.BOOKKEEPING));
    }
  }

  /** Its one launch is all that is ever recorded of it, if nothing goes wrong. */
  static boolean single(Job job) {
    return job.spec().taskCount() == 1 && !job.spec().isService() && !job.spec().isGang();
  }

  @Override
  public void alone(Job job, Chunk chunk) {
    enqueue(job, chunk, job.spec().isService() ? Priority.REPLICA : Priority.LAUNCH);
  }

  @Override
  public boolean waits(Job job, Chunk chunk) {
    chunk.launchQueued = false;
    return context.held() && !chunk.inFlight && chunk.dirty && chunk.urgent && !job.over();
  }

  @Override
  public void landed(Job job, Chunk chunk, boolean made) {
    // Its own record takes over when nobody waits for the put. Before that it must, if the launch
    // batch may have been made without our knowing: entries of a lost one then count no more.
    chunk.urgent =
        !made || chunk.live.values().stream().anyMatch(a -> a.phase == Attempt.Phase.PLANNED);
    if (made && single(job) && !chunk.urgent && !chunk.ends) {
      // A swarm's jobs are mostly done before a record of their own would be written.
      chunk.dirty = false;
    }
    if (job.over) {
      listener.over(job);
    } else {
      again(job, chunk);
    }
  }

  @Override
  public void dropped(Attempt unsent) {
    listener.dropped(unsent);
  }

  /** Launch batches of services' launches. */
  LaunchBatches launchBatches() {
    return launchBatches;
  }

  private void again(Job job, Chunk chunk) {
    if (chunk.dirty && !job.over()) {
      dirty(job, chunk, chunk.urgent);
    }
  }

  /**
   * How long ends are gathered into one put: the longer the more jobs have some, so that the puts
   * for them stay within their share. A completion need only be recorded before it is cleared.
   */
  private long gatherMs() {
    long least = context.settings.workers().reportMs() / 8;
    long paced = Math.round(1000 * gathering.size() / bookkeepingPerS);
    return Math.max(least, Math.min(paced, context.settings.workers().leaseMs() / 2));
  }

  private void enqueue(Job job, Chunk chunk, Priority priority) {
    Flush flush = new Flush();
    long term = context.term();
    context.state.commit(
        1,
        () -> context.term() == term ? put(job, chunk, priority, flush) : null,
        priority,
        context.settings.workers().reportMs(),
        outcome -> {
          if (!context.still(term)) {
            return;
          }
          if (!flush.built) {
            unqueued(chunk, priority);
            context.timers.after(context.retryMs, () -> again(job, chunk));
            return;
          }
          chunk.inFlight = false;
          written(job, chunk, outcome, flush);
        });
  }

  private void unqueued(Chunk chunk, Priority priority) {
    if (priority != Priority.BOOKKEEPING) {
      chunk.launchQueued = false;
    } else {
      gathering.remove(chunk);
    }
  }

  /** The put of a chunk as it is now, or null when there is none to make. */
  private Txn put(Job job, Chunk chunk, Priority priority, Flush flush) {
    unqueued(chunk, priority);
    if (!context.held()
        || chunk.inFlight
        || !chunk.dirty
        || job.over()
        || !context.leadership.leading()) {
      return null;
    }
    flush.built = true;
    flush.number = chunk.lastNumber;
    chunk.inFlight = true;
    chunk.dirty = false;
    chunk.urgent = false;
    chunk.ends = false;
    for (Attempt attempt : chunk.live.values()) {
      if (attempt.phase == Attempt.Phase.PLANNED) {
        flush.planned.add(attempt);
      }
      if (attempt.done) {
        flush.completed.add(attempt);
      }
    }
    // The job's own stamp: nothing starts for a job that was cancelled meanwhile.
    String ref = job.spec().ref();
    String key = StateKeys.run(ref, chunk.index);
    return context
        .leadership
        .guard(new Txn())
        .when(key, chunk.stamp)
        .when(StateKeys.job(ref), job.stamp)
        .put(key, chunk.toJson(job.probesFailed));
  }

  private void written(Job job, Chunk chunk, TxnOutcome outcome, Flush flush) {
    if (outcome instanceof TxnOutcome.Applied applied) {
      chunk.stamp = applied.stamp();
      chunk.recordedNumber = flush.number;
      launchBatches.released(chunk);
      if (job.over) {
        listener.over(job);
        return;
      }
      flush.planned.forEach(a -> launch(chunk, a, applied.stamp()));
      flush.completed.forEach(a -> settle(job, chunk, a));
      if (!listener.written(job)) {
        again(job, chunk);
      }
      return;
    }
    chunk.dirty = true;
    chunk.ends = true;
    chunk.urgent |= !flush.planned.isEmpty();
    if (outcome instanceof TxnOutcome.Conflict conflict) {
      if (context.leadership.deposedBy(outcome)) {
        return;
      }
      if (conflict.failed().contains(StateKeys.job(job.spec().ref()))) {
        // Cancelled: the replica will say so; what was not sent never will be.
        for (Attempt a : flush.planned) {
          if (chunk.live.get(a.step) == a && !a.sent()) {
            listener.dropped(a);
          }
        }
        return;
      }
    }
    if (outcome instanceof TxnOutcome.Conflict || outcome instanceof TxnOutcome.Unknown) {
      if (outcome instanceof TxnOutcome.Conflict conflict) {
        // A leader is the only one who writes it, and none of its own copies is open any more.
        LOG.warn(
            "{} is not as this leader left it at {}: {}",
            StateKeys.run(job.spec().ref(), chunk.index),
            chunk.stamp,
            conflict.failed());
      }
      readBack(job, chunk);
    } else {
      context.timers.after(context.retryMs, () -> again(job, chunk));
    }
  }

  private void launch(Chunk chunk, Attempt attempt, long revision) {
    if (chunk.live.get(attempt.step) == attempt && attempt.phase == Attempt.Phase.PLANNED) {
      context.launch(attempt, StateKeys.run(attempt.spec().ref(), chunk.index), revision);
    }
  }

  /** Its completion is on record: the report of it is not needed any more. */
  private void settle(Job job, Chunk chunk, Attempt attempt) {
    if (chunk.live.get(attempt.step) == attempt) {
      chunk.live.remove(attempt.step);
      job.held--;
      context.callbacks.host(attempt.host).forget(attempt);
      context.callbacks.clear(attempt.host, attempt.key(), attempt.number);
    }
  }

  /**
   * An unanswered write may have been applied, or may be later. Each write is conditional on the
   * stamp of the one before, so once a newer one has succeeded, the lost one cannot follow.
   */
  void readBack(Job job, Chunk chunk) {
    long term = context.term();
    chunk.inFlight = true;
    context.state.get(
        StateKeys.run(job.spec().ref(), chunk.index),
        read -> {
          if (!context.still(term)) {
            return;
          }
          chunk.inFlight = false;
          if (read.known()) {
            chunk.stamp = read.stamp();
          }
          if (job.over) {
            listener.over(job);
          } else {
            context.timers.after(read.known() ? 0 : context.retryMs, () -> again(job, chunk));
          }
        });
  }
}
