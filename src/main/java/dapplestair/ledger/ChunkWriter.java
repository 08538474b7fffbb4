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

/** Writes the chunks' records of attempts, in as few puts as possible. */
final class ChunkWriter implements LaunchBatches.ChunkRecords {
  private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);

  /** Receives the results of puts. */
  interface Listener {
    /**
     * Reports that a put of this job was made. Returns true if the job is over, so that no more
     * puts follow.
     */
    boolean onChunkPut(Job job);

    /**
     * Reports that a put of a job that is over has ended, so that its record may be removed now.
     */
    void onJobOver(Job job);

    /** Reports that the job was cancelled before this attempt's launch was sent. */
    void onUnsentCancelled(Attempt unsent);
  }

  /** The content of one put of a chunk. */
  private static final class ChunkPut {
    boolean txnBuilt;
    long lastNumber;
    final List<Attempt> planned = new ArrayList<>();
    final List<Attempt> completed = new ArrayList<>();
  }

  // The share of the state service's write rate that bookkeeping puts, which nobody waits for, may
  // use, however many tasks end.
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

  /**
   * Marks a chunk that differs from its record, and queues a put of it; {@code urgent} if launches
   * wait for the put.
   */
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
    // A chunk may have an urgent and a bookkeeping put queued at once: launches must not wait
    // behind a put that nobody waits for.
    if (urgent && !chunk.launchQueued) {
      chunk.launchQueued = true;
      boolean inLaunchBatch = job.spec().isService() || isSingleTask(job);
      context.timers.after(
          0,
          inLaunchBatch ? () -> launchBatches.add(job, chunk) : () -> writeSeparately(job, chunk));
    } else if (!urgent && chunksGatheringEnds.add(chunk)) {
      context.timers.after(gatherDelayMs(), () -> enqueue(job, chunk, Priority.BOOKKEEPING));
    }
  }

  /**
   * Returns true for a job of one task, of which nothing but its launch is ever recorded unless it
   * fails or is lost.
   */
  static boolean isSingleTask(Job job) {
    return job.spec().taskCount() == 1 && !job.spec().isService() && !job.spec().isGang();
  }

  @Override
  public void writeSeparately(Job job, Chunk chunk) {
    enqueue(job, chunk, job.spec().isService() ? Priority.REPLICA : Priority.LAUNCH);
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
    // After an applied put, the chunk's own record replaces the launch batch with the next
    // bookkeeping put. After any other outcome its put is urgent, since the launch batch may still
    // have been made unnoticed: entries of such a batch count no more once the chunk's own record
    // has their numbers.
    chunk.hasUrgentLaunches =
        !applied
            || chunk.attemptsByStep.values().stream()
                .anyMatch(a -> a.phase == Attempt.Phase.PLANNED);
    if (applied && isSingleTask(job) && !chunk.hasUrgentLaunches && !chunk.hasUnrecordedEnds) {
      // Most jobs of one task are done before a record of their own would be written.
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

  /** Returns the launch batches of services and of jobs of one task. */
  LaunchBatches launchBatches() {
    return launchBatches;
  }

  private void requeueIfDirty(Job job, Chunk chunk) {
    if (chunk.dirty && !job.isOver()) {
      markDirty(job, chunk, chunk.hasUrgentLaunches);
    }
  }

  /**
   * Returns for how long ends of tasks are gathered into one put: longer when more chunks have
   * some, so that their puts stay within their share. A completion need only be recorded before its
   * report is cleared.
   */
  private long gatherDelayMs() {
    long minDelayMs = context.settings.workers().reportMs() / 8;
    long pacedDelayMs = Math.round(1000 * chunksGatheringEnds.size() / bookkeepingPerS);
    return Math.max(minDelayMs, Math.min(pacedDelayMs, context.settings.workers().leaseMs() / 2));
  }

  private void enqueue(Job job, Chunk chunk, Priority priority) {
    ChunkPut chunkPut = new ChunkPut();
    long term = context.term();
    context.state.commit(
        1,
        () -> context.term() == term ? buildTxn(job, chunk, priority, chunkPut) : null,
        priority,
        context.settings.workers().reportMs(),
        outcome -> {
          if (!context.isCurrentTerm(term)) {
            return;
          }
          if (!chunkPut.txnBuilt) {
            markUnqueued(chunk, priority);
            context.timers.after(context.retryMs, () -> requeueIfDirty(job, chunk));
            return;
          }
          chunk.inFlight = false;
          onPutFinished(job, chunk, outcome, chunkPut);
        });
  }

  private void markUnqueued(Chunk chunk, Priority priority) {
    if (priority != Priority.BOOKKEEPING) {
      chunk.launchQueued = false;
    } else {
      chunksGatheringEnds.remove(chunk);
    }
  }

  /**
   * Builds the put of a chunk in its present state, or returns null if there is nothing to write.
   */
  private Txn buildTxn(Job job, Chunk chunk, Priority priority, ChunkPut chunkPut) {
    markUnqueued(chunk, priority);
    if (!context.isTermActive()
        || chunk.inFlight
        || !chunk.dirty
        || job.isOver()
        || !context.leadership.isLeading()) {
      return null;
    }
    chunkPut.txnBuilt = true;
    chunkPut.lastNumber = chunk.lastNumber;
    chunk.inFlight = true;
    chunk.dirty = false;
    chunk.hasUrgentLaunches = false;
    chunk.hasUnrecordedEnds = false;
    for (Attempt attempt : chunk.attemptsByStep.values()) {
      if (attempt.phase == Attempt.Phase.PLANNED) {
        chunkPut.planned.add(attempt);
      }
      if (attempt.done) {
        chunkPut.completed.add(attempt);
      }
    }
    // The condition on the job's own stamp keeps a job that was cancelled meanwhile from starting.
    String ref = job.spec().ref();
    String key = StateKeys.attemptChunk(ref, chunk.index);
    return context
        .leadership
        .guard(new Txn())
        .when(key, chunk.stamp)
        .when(StateKeys.job(ref), job.stamp)
        .put(key, chunk.toJson(job.probesFailed));
  }

  private void onPutFinished(Job job, Chunk chunk, TxnOutcome outcome, ChunkPut chunkPut) {
    if (outcome instanceof TxnOutcome.Applied applied) {
      chunk.stamp = applied.stamp();
      chunk.recordedNumber = chunkPut.lastNumber;
      launchBatches.releaseClaims(chunk);
      if (job.ended) {
        listener.onJobOver(job);
        return;
      }
      chunkPut.planned.forEach(a -> launch(chunk, a, applied.stamp()));
      chunkPut.completed.forEach(a -> removeCompleted(job, chunk, a));
      if (!listener.onChunkPut(job)) {
        requeueIfDirty(job, chunk);
      }
      return;
    }
    chunk.dirty = true;
    chunk.hasUnrecordedEnds = true;
    chunk.hasUrgentLaunches |= !chunkPut.planned.isEmpty();
    if (outcome instanceof TxnOutcome.Conflict conflict) {
      if (context.leadership.stepDownIfDeposed(outcome)) {
        return;
      }
      if (conflict.failedKeys().contains(StateKeys.job(job.spec().ref()))) {
        // The job was cancelled, which the replica will show; launches that were not sent are
        // dropped.
        for (Attempt attempt : chunkPut.planned) {
          if (chunk.attemptsByStep.get(attempt.step) == attempt && !attempt.isSent()) {
            listener.onUnsentCancelled(attempt);
          }
        }
        return;
      }
    }
    if (outcome instanceof TxnOutcome.Conflict || outcome instanceof TxnOutcome.Unknown) {
      if (outcome instanceof TxnOutcome.Conflict conflict) {
        // Only the leader writes this record, and none of its earlier writes is unanswered, so a
        // conflict is unexpected.
        LOG.warn(
            "write of {} conflicts though only this leader writes it: expected stamp {}, failed conditions {}; reading it back",
            StateKeys.attemptChunk(job.spec().ref(), chunk.index),
            chunk.stamp,
            conflict.failedKeys());
      }
      readBack(job, chunk);
    } else {
      context.timers.after(context.retryMs, () -> requeueIfDirty(job, chunk));
    }
  }

  private void launch(Chunk chunk, Attempt attempt, long stamp) {
    if (chunk.attemptsByStep.get(attempt.step) == attempt
        && attempt.phase == Attempt.Phase.PLANNED) {
      context.launch(attempt, StateKeys.attemptChunk(attempt.spec().ref(), chunk.index), stamp);
    }
  }

  /**
   * Removes an attempt whose completion is on record, so that its report is not needed any more.
   */
  private void removeCompleted(Job job, Chunk chunk, Attempt attempt) {
    if (chunk.attemptsByStep.get(attempt.step) == attempt) {
      chunk.attemptsByStep.remove(attempt.step);
      job.heldAttempts--;
      context.callbacks.host(attempt.host).forget(attempt);
      context.callbacks.clear(attempt.host, attempt.key(), attempt.number);
    }
  }

  /**
   * Reads a record's stamp after an unanswered or conflicting write, which may have been applied,
   * or may be applied later. Each write is conditional on the stamp of the one before, so once a
   * newer write has succeeded, the lost one can't be applied any more.
   */
  void readBack(Job job, Chunk chunk) {
    long term = context.term();
    chunk.inFlight = true;
    context.state.get(
        StateKeys.attemptChunk(job.spec().ref(), chunk.index),
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
