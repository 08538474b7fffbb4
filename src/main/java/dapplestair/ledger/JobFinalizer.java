package dapplestair.ledger;

import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;
import dapplestair.state.TxnOutcome;
import dapplestair.work.Rank;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Ends jobs and removes the records of their attempts. */
final class JobFinalizer implements ChunkWriter.Listener {
  private final LedgerContext context;
  private final ChunkWriter writer;
  private final Attempts attempts;
  private final Map<String, Job> jobs;
  private final JobStatistics jobStatistics;

  JobFinalizer(
      LedgerContext context,
      ChunkWriter writer,
      Attempts attempts,
      Map<String, Job> jobs,
      JobStatistics jobStatistics) {
    this.context = context;
    this.writer = writer;
    this.attempts = attempts;
    this.jobs = jobs;
    this.jobStatistics = jobStatistics;
    attempts.setAttemptRemovedListener(this::onJobOver);
    writer.setListener(this);
  }

  @Override
  public boolean onChunkPut(Job job) {
    return finishIfDone(job);
  }

  @Override
  public void onUnsentCancelled(Attempt unsent) {
    attempts.remove(unsent);
  }

  /** Ends a job: its tasks on machines are stopped and then forgotten. */
  void endJob(Job job) {
    if (job.ended) {
      return;
    }
    job.ended = true;
    job.finishing = false;
    job.stamp = 0;
    job.endedAtMs = context.clock.now();
    if (context.isReady()) {
      jobStatistics.recordEnded(job);
    }
    for (Chunk chunk : job.chunks.values()) {
      for (Attempt attempt : List.copyOf(chunk.attemptsByStep.values())) {
        if (!attempt.isSent() || attempt.done) {
          attempts.discard(attempt);
        } else {
          attempts.halt(attempt, 0, StopReason.JOB_OVER);
        }
      }
    }
    onJobOver(job);
    context.callbacks.onChanged();
  }

  /** Records a job as done if all its tasks are. Returns true if the job is over. */
  boolean finishIfDone(Job job) {
    if (job.isOver() || !context.isReady() || !job.allDone()) {
      return job.isOver();
    }
    job.finishing = true;
    recordDone(job);
    return true;
  }

  private void recordDone(Job job) {
    if (!context.isTermActive() || job.ended || !context.leadership.isLeading()) {
      return;
    }
    List<Chunk> removedChunks = new ArrayList<>();
    long term = context.term();
    boolean lowRank = job.spec().rank() == Rank.LOW;
    context.state.commit(
        2 + context.callbacks.maxFinishOperations() + job.chunks.size(),
        () -> context.term() == term && !job.ended ? buildFinishTxn(job, removedChunks) : null,
        // Jobs of low rank may end by the hundred at once; this must not delay the news of
        // completion for other users.
        lowRank ? Priority.FINISH_LOW : Priority.FINISH,
        lowRank ? context.settings.workers().leaseMs() : context.settings.workers().reportMs(),
        outcome -> {
          if (!context.isCurrentTerm(term)) {
            return;
          }
          if (outcome instanceof TxnOutcome.Applied) {
            // Reported even if the replica has already shown the removal of the job's key.
            context.callbacks.onJobEnded(job.spec().ref(), true);
          }
          if (!job.ended) {
            onFinishOutcome(job, removedChunks, outcome);
          }
        });
  }

  /**
   * Builds the transaction that records a job as done and removes records that it no longer needs.
   */
  private Txn buildFinishTxn(Job job, List<Chunk> removedChunks) {
    String ref = job.spec().ref();
    Txn txn =
        context
            .leadership
            .guard(new Txn())
            .when(StateKeys.job(ref), job.stamp)
            .put(
                StateKeys.finishedJob(ref),
                JobRecordCodec.endedRecord(job, "done", context.clock.wall()))
            .remove(StateKeys.job(ref));
    context.callbacks.addToFinishTxn(job, txn);
    for (Chunk chunk : job.chunks.values()) {
      if (chunk.stamp != 0 && !chunk.inFlight && txn.size() < context.settings.state().txnOps()) {
        txn.when(StateKeys.attemptChunk(ref, chunk.index), chunk.stamp)
            .remove(StateKeys.attemptChunk(ref, chunk.index));
        removedChunks.add(chunk);
      }
    }
    return txn;
  }

  private void onFinishOutcome(Job job, List<Chunk> removedChunks, TxnOutcome outcome) {
    String ref = job.spec().ref();
    if (outcome instanceof TxnOutcome.Applied) {
      removedChunks.forEach(c -> c.stamp = 0);
      endJob(job);
      return;
    }
    if (outcome instanceof TxnOutcome.Conflict conflict) {
      if (context.leadership.stepDownIfDeposed(outcome)) {
        return;
      }
      if (conflict.failedKeys().contains(StateKeys.job(ref))) {
        // The job was cancelled before, or an unanswered write of this leader was applied; the
        // record under over/ tells which.
        endJob(job);
        return;
      }
      for (Chunk chunk : removedChunks) {
        if (conflict.failedKeys().contains(StateKeys.attemptChunk(ref, chunk.index))) {
          writer.readBack(job, chunk);
        }
      }
    }
    context.timers.after(context.retryMs, () -> recordDone(job));
  }

  /** Deletes the records of a job that is over, each once nothing in it can be running. */
  @Override
  public void onJobOver(Job job) {
    if (!context.isTermActive()) {
      return;
    }
    boolean recordsLeft = false;
    for (Chunk chunk : job.chunks.values()) {
      if (!chunk.hasNoAttempts() || chunk.stamp != 0 || chunk.inFlight) {
        recordsLeft = true;
      }
      if (chunk.hasNoAttempts() && chunk.stamp != 0 && !chunk.inFlight) {
        removeRecord(job, chunk);
      }
    }
    if (!recordsLeft) {
      job.chunks.values().forEach(writer.launchBatches()::releaseClaims);
      jobs.remove(job.spec().ref(), job);
    }
  }

  private void removeRecord(Job job, Chunk chunk) {
    chunk.inFlight = true;
    String key = StateKeys.attemptChunk(job.spec().ref(), chunk.index);
    Txn txn = context.leadership.guard(new Txn()).when(key, chunk.stamp).remove(key);
    long term = context.term();
    context.state.commit(
        txn,
        Priority.BOOKKEEPING,
        context.settings.workers().leaseMs(),
        outcome -> {
          if (!context.isCurrentTerm(term)) {
            return;
          }
          chunk.inFlight = false;
          if (outcome instanceof TxnOutcome.Applied) {
            chunk.stamp = 0;
            onJobOver(job);
          } else if (context.leadership.stepDownIfDeposed(outcome)) {
            return;
          } else if (outcome instanceof TxnOutcome.Refused) {
            context.timers.after(4 * context.retryMs, () -> onJobOver(job));
          } else {
            chunk.inFlight = true;
            context.timers.after(context.retryMs, () -> writer.readBack(job, chunk));
          }
        });
  }
}
