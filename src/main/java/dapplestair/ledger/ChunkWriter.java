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
final class ChunkWriter implements LaunchBatches.ChunkRecords {
  private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);

  /** Told of what a put has settled. */
  interface Listener {
    /** A put of this job was made. True when the job is over, so that no more follow. */
    boolean onChunkPut(Job job);

    /** The job is over, and one of its records may be removed now. */
    void onJobOver(Job job);

    /** The job was cancelled before this attempt's launch was sent. */
    void onUnsentCancelled(Attempt unsent);
  }

  /** What one put of a chunk carries. */
  private static final class Flush {
    boolean txnBuilt;
    long lastNumber;
    final List<Attempt> planned = new ArrayList<>();
    final List<Attempt> completed = new ArrayList<>();
  }

  // Of the state service's puts: what nobody waits for may take no more, however much ends.
  private static final double BOOKKEEPING_SHARE = 0.12;

  private final LedgerContext context;
  private final double bookkeepingPerS;
  private final Set<Chunk> chunksGatheringEnds = new LinkedHashSet<>();
  private final LaunchBatches launchBatches;
  private Listener listener;

  ChunkWriter(LedgerContext context, boolean withLaunchBatches) {
    this.context = context;
    this.launchBatches = new LaunchBatches(context, this, withLaunchBatches);
    this.bookkeepingPerS = BOOKKEEPING_SHARE * context.settings.state().writeRps();
  }

  void setListener(Listener newListener) {
    listener = newListener;
  }

  void clear() {
    chunksGatheringEnds.clear();
    launchBatches.clear();
  }

  /** The chunk differs from its record; {@code urgent} when launches wait for the put. */
  void markDirty(Job job, Chunk chunk, boolean urgent) {
    if (!context.isTermActive()) {
      return;
    }
    chunk.dirty = true;
    chunk.hasUrgentLaunches |= urgent;
    chunk.hasUnrecordedEnds |= !urgent;
    if (chunk.inFlight) {
      return;
    }
    // Both may be queued for one chunk: launches must not wait behind a put that nobody waits for.
    if (urgent && !chunk.launchQueued) {
      chunk.launchQueued = true;
      boolean inLaunchBatch = job.spec().service() || isSingleTask(job);
      context.timers.after(
          0,
          inLaunchBatch ? () -> launchBatches.add(job, chunk) : () -> writeSeparately(job, chunk));
    } else if (!urgent && chunksGatheringEnds.add(chunk)) {
      context.timers.after(gatherDelayMs(), () -> enqueue(job, chunk, Priority.BOOKKEEPING));
    }
  }

  /** Its one launch is all that is ever recorded of it, if nothing goes wrong. */
  static boolean isSingleTask(Job job) {
    return job.spec().steps() == 1 && !job.spec().service() && !job.spec().gang();
  }

  @Override
  public void writeSeparately(Job job, Chunk chunk) {
    enqueue(job, chunk, job.spec().service() ? Priority.REPLICA : Priority.LAUNCH);
  }

  @Override
  public boolean hasPendingLaunches(Job job, Chunk chunk) {
    chunk.launchQueued = false;
    return context.isTermActive()
        && !chunk.inFlight
        && chunk.dirty
        && chunk.hasUrgentLaunches
        && !job.isOver();
  }

  @Override
  public void onBatchPut(Job job, Chunk chunk, boolean applied) {
    // Its own record takes over when nobody waits for the put. Before that it must, if the launch
    // batch may have been made without our knowing: entries of a lost one then count no more.
    chunk.hasUrgentLaunches =
        !applied
            || chunk.attemptsByStep.values().stream()
                .anyMatch(a -> a.phase == Attempt.Phase.PLANNED);
    if (applied && isSingleTask(job) && !chunk.hasUrgentLaunches && !chunk.hasUnrecordedEnds) {
      // A swarm's jobs are mostly done before a record of their own would be written.
      chunk.dirty = false;
    }
    if (job.ended) {
      listener.onJobOver(job);
    } else {
      requeueIfDirty(job, chunk);
    }
  }

  @Override
  public void onUnsentCancelled(Attempt unsent) {
    listener.onUnsentCancelled(unsent);
  }

  /** Launch batches of services' launches. */
  LaunchBatches launchBatches() {
    return launchBatches;
  }

  private void requeueIfDirty(Job job, Chunk chunk) {
    if (chunk.dirty && !job.isOver()) {
      markDirty(job, chunk, chunk.hasUrgentLaunches);
    }
  }

  /**
   * How long ends are gathered into one put: the longer the more jobs have some, so that the puts
   * for them stay within their share. A completion need only be recorded before it is cleared.
   */
  private long gatherDelayMs() {
    long minDelayMs = context.settings.workers().reportMs() / 8;
    long pacedDelayMs = Math.round(1000 * chunksGatheringEnds.size() / bookkeepingPerS);
    return Math.max(minDelayMs, Math.min(pacedDelayMs, context.settings.workers().leaseMs() / 2));
  }

  private void enqueue(Job job, Chunk chunk, Priority priority) {
    Flush flush = new Flush();
    long term = context.term();
    context.state.commit(
        1,
        () -> context.term() == term ? buildTxn(job, chunk, priority, flush) : null,
        priority,
        context.settings.workers().reportMs(),
        outcome -> {
          if (!context.isCurrentTerm(term)) {
            return;
          }
          if (!flush.txnBuilt) {
            markUnqueued(chunk, priority);
            context.timers.after(context.retryMs, () -> requeueIfDirty(job, chunk));
            return;
          }
          chunk.inFlight = false;
          onPutFinished(job, chunk, outcome, flush);
        });
  }

  private void markUnqueued(Chunk chunk, Priority priority) {
    if (priority != Priority.BOOKKEEPING) {
      chunk.launchQueued = false;
    } else {
      chunksGatheringEnds.remove(chunk);
    }
  }

  /** The put of a chunk as it is now, or null when there is none to make. */
  private Txn buildTxn(Job job, Chunk chunk, Priority priority, Flush flush) {
    markUnqueued(chunk, priority);
    if (!context.isTermActive()
        || chunk.inFlight
        || !chunk.dirty
        || job.isOver()
        || !context.leadership.leading()) {
      return null;
    }
    flush.txnBuilt = true;
    flush.lastNumber = chunk.lastNumber;
    chunk.inFlight = true;
    chunk.dirty = false;
    chunk.hasUrgentLaunches = false;
    chunk.hasUnrecordedEnds = false;
    for (Attempt attempt : chunk.attemptsByStep.values()) {
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

  private void onPutFinished(Job job, Chunk chunk, TxnOutcome outcome, Flush flush) {
    if (outcome instanceof TxnOutcome.Applied applied) {
      chunk.stamp = applied.stamp();
      chunk.recordedNumber = flush.lastNumber;
      launchBatches.releaseClaims(chunk);
      if (job.ended) {
        listener.onJobOver(job);
        return;
      }
      flush.planned.forEach(a -> launch(chunk, a, applied.stamp()));
      flush.completed.forEach(a -> removeCompleted(job, chunk, a));
      if (!listener.onChunkPut(job)) {
        requeueIfDirty(job, chunk);
      }
      return;
    }
    chunk.dirty = true;
    chunk.hasUnrecordedEnds = true;
    chunk.hasUrgentLaunches |= !flush.planned.isEmpty();
    if (outcome instanceof TxnOutcome.Conflict conflict) {
      if (context.leadership.deposedBy(outcome)) {
        return;
      }
      if (conflict.failed().contains(StateKeys.job(job.spec().ref()))) {
        // Cancelled: the replica will say so; what was not sent never will be.
        for (Attempt attempt : flush.planned) {
          if (chunk.attemptsByStep.get(attempt.step) == attempt && !attempt.isSent()) {
            listener.onUnsentCancelled(attempt);
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
      context.timers.after(context.retryMs, () -> requeueIfDirty(job, chunk));
    }
  }

  private void launch(Chunk chunk, Attempt attempt, long revision) {
    if (chunk.attemptsByStep.get(attempt.step) == attempt
        && attempt.phase == Attempt.Phase.PLANNED) {
      context.launch(attempt, StateKeys.run(attempt.spec().ref(), chunk.index), revision);
    }
  }

  /** Its completion is on record: the report of it is not needed any more. */
  private void removeCompleted(Job job, Chunk chunk, Attempt attempt) {
    if (chunk.attemptsByStep.get(attempt.step) == attempt) {
      chunk.attemptsByStep.remove(attempt.step);
      job.heldAttempts--;
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
          if (!context.isCurrentTerm(term)) {
            return;
          }
          chunk.inFlight = false;
          if (read.known()) {
            chunk.stamp = read.stamp();
          }
          if (job.ended) {
            listener.onJobOver(job);
          } else {
            context.timers.after(
                read.known() ? 0 : context.retryMs, () -> requeueIfDirty(job, chunk));
          }
        });
  }
}
