package dapplestair.ledger;

import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;
import dapplestair.state.TxnOutcome;
import dapplestair.work.Rank;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** How jobs end, and the removal of what was recorded of them. */
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
    attempts.whenEmptied(this::over);
    writer.listen(this);
  }

  @Override
  public boolean written(Job job) {
    return finishIfDone(job);
  }

  @Override
  public void dropped(Attempt unsent) {
    attempts.retire(unsent);
  }

  /** The job is over: what it has on machines is stopped, then forgotten. */
  void end(Job job) {
    if (job.over) {
      return;
    }
    job.over = true;
    job.finishing = false;
    job.stamp = 0;
    job.overAt = context.clock.now();
    if (context.armed()) {
      jobStatistics.ended(job);
    }
    for (Chunk chunk : job.chunks.values()) {
      for (Attempt attempt : List.copyOf(chunk.live.values())) {
        if (!attempt.sent() || attempt.done) {
          attempts.drop(attempt);
        } else {
          attempts.halt(attempt, 0, StopReason.JOB_OVER);
        }
      }
    }
    over(job);
    context.callbacks.changed();
  }

  /** Makes the job done when all of it is. True when the job is over. */
  boolean finishIfDone(Job job) {
    if (job.over() || !context.armed() || !job.allDone()) {
      return job.over();
    }
    job.finishing = true;
    finish(job);
    return true;
  }

  private void finish(Job job) {
    if (!context.held() || job.over || !context.leadership.isLeading()) {
      return;
    }
    List<Chunk> removed = new ArrayList<>();
    long term = context.term();
    boolean low = job.spec().rank() == Rank.LOW;
    context.state.commit(
        2 + context.callbacks.mostWithFinish() + job.chunks.size(),
        () -> context.term() == term && !job.over ? finishing(job, removed) : null,
        // A swarm's ends come by the hundred; no other user is to hear later that all is done.
        low ? Priority.FINISH_LOW : Priority.FINISH,
        low ? context.settings.workers().leaseMs() : context.settings.workers().reportMs(),
        outcome -> {
          if (!context.still(term)) {
            return;
          }
          if (outcome instanceof TxnOutcome.Applied) {
            // Also when the replica was quicker to say that the job's key is gone.
            context.callbacks.ended(job.spec().ref(), true);
          }
          if (!job.over) {
            finished(job, removed, outcome);
          }
        });
  }

  /** The transaction that makes a job done, with the records that it no longer needs. */
  private Txn finishing(Job job, List<Chunk> removed) {
    String ref = job.spec().ref();
    Txn txn =
        context
            .leadership
            .guard(new Txn())
            .when(StateKeys.job(ref), job.stamp)
            .put(StateKeys.finishedJob(ref), JobRecordCodec.over(job, "done", context.clock.wall()))
            .remove(StateKeys.job(ref));
    context.callbacks.finishing(job, txn);
    for (Chunk chunk : job.chunks.values()) {
      if (chunk.stamp != 0 && !chunk.inFlight && txn.size() < context.settings.state().txnOps()) {
        txn.when(StateKeys.attemptChunk(ref, chunk.index), chunk.stamp)
            .remove(StateKeys.attemptChunk(ref, chunk.index));
        removed.add(chunk);
      }
    }
    return txn;
  }

  private void finished(Job job, List<Chunk> removed, TxnOutcome outcome) {
    String ref = job.spec().ref();
    if (outcome instanceof TxnOutcome.Applied) {
      removed.forEach(c -> c.stamp = 0);
      end(job);
      return;
    }
    if (outcome instanceof TxnOutcome.Conflict conflict) {
      if (context.leadership.stepDownIfDeposed(outcome)) {
        return;
      }
      if (conflict.failedKeys().contains(StateKeys.job(ref))) {
        // Cancelled before, or our own unanswered write was applied: over/ tells which.
        end(job);
        return;
      }
      for (Chunk c : removed) {
        if (conflict.failedKeys().contains(StateKeys.attemptChunk(ref, c.index))) {
          writer.readBack(job, c);
        }
      }
    }
    context.timers.after(context.retryMs, () -> finish(job));
  }

  /** Deletes the records of a job that is over, each once nothing in it can be running. */
  @Override
  public void over(Job job) {
    if (!context.held()) {
      return;
    }
    boolean left = false;
    for (Chunk chunk : job.chunks.values()) {
      if (!chunk.empty() || chunk.stamp != 0 || chunk.inFlight) {
        left = true;
      }
      if (chunk.empty() && chunk.stamp != 0 && !chunk.inFlight) {
        removeRecord(job, chunk);
      }
    }
    if (!left) {
      job.chunks.values().forEach(writer.launchBatches()::released);
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
          if (!context.still(term)) {
            return;
          }
          chunk.inFlight = false;
          if (outcome instanceof TxnOutcome.Applied) {
            chunk.stamp = 0;
            over(job);
          } else if (context.leadership.stepDownIfDeposed(outcome)) {
            return;
          } else if (outcome instanceof TxnOutcome.Refused) {
            context.timers.after(4 * context.retryMs, () -> over(job));
          } else {
            chunk.inFlight = true;
            context.timers.after(context.retryMs, () -> writer.readBack(job, chunk));
          }
        });
  }
}
