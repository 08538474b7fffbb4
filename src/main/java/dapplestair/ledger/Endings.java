package dapplestair.ledger;

import dapplestair.state.Keys;
import dapplestair.state.Outcome;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.Txn;
import dapplestair.work.Rank;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** How jobs end, and the removal of what was recorded of them. */
final class Endings implements ChunkWriter.Listener {
  private final Office office;
  private final ChunkWriter writer;
  private final Attempts attempts;
  private final Map<String, Job> jobs;
  private final Served served;

  Endings(
      Office office, ChunkWriter writer, Attempts attempts, Map<String, Job> jobs, Served served) {
    this.office = office;
    this.writer = writer;
    this.attempts = attempts;
    this.jobs = jobs;
    this.served = served;
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
    job.overAt = office.clock.now();
    if (office.armed()) {
      served.ended(job);
    }
    for (Chunk c : job.chunks.values()) {
      for (Attempt a : List.copyOf(c.live.values())) {
        if (!a.sent() || a.done) {
          attempts.drop(a);
        } else {
          attempts.halt(a, 0, StopReason.JOB_OVER);
        }
      }
    }
    over(job);
    office.hooks.changed();
  }

  /** Makes the job done when all of it is. True when the job is over. */
  boolean finishIfDone(Job job) {
    if (job.over() || !office.armed() || !job.allDone()) {
      return job.over();
    }
    job.finishing = true;
    finish(job);
    return true;
  }

  private void finish(Job job) {
    if (!office.held() || job.over || !office.leadership.leading()) {
      return;
    }
    List<Chunk> removed = new ArrayList<>();
    long term = office.term();
    boolean low = job.spec().rank() == Rank.LOW;
    office.state.commit(
        2 + office.hooks.mostWithFinish() + job.chunks.size(),
        () -> office.term() == term && !job.over ? finishing(job, removed) : null,
        // A swarm's ends come by the hundred; no other user is to hear later that all is done.
        low ? Priority.FINISH_LOW : Priority.FINISH,
        low ? office.settings.workers().leaseMs() : office.settings.workers().reportMs(),
        outcome -> {
          if (!office.still(term)) {
            return;
          }
          if (outcome instanceof Outcome.Applied) {
            // Also when the replica was quicker to say that the job's key is gone.
            office.hooks.ended(job.spec().ref(), true);
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
        office
            .leadership
            .guard(new Txn())
            .when(Keys.job(ref), job.stamp)
            .put(Keys.over(ref), JobRecord.over(job, "done", office.clock.wall()))
            .remove(Keys.job(ref));
    office.hooks.finishing(job, txn);
    for (Chunk c : job.chunks.values()) {
      if (c.stamp != 0 && !c.inFlight && txn.size() < office.settings.state().txnOps()) {
        txn.when(Keys.run(ref, c.index), c.stamp).remove(Keys.run(ref, c.index));
        removed.add(c);
      }
    }
    return txn;
  }

  private void finished(Job job, List<Chunk> removed, Outcome outcome) {
    String ref = job.spec().ref();
    if (outcome instanceof Outcome.Applied) {
      removed.forEach(c -> c.stamp = 0);
      end(job);
      return;
    }
    if (outcome instanceof Outcome.Conflict conflict) {
      if (office.leadership.deposedBy(outcome)) {
        return;
      }
      if (conflict.failed().contains(Keys.job(ref))) {
        // Withdrawn before, or our own unanswered write was applied: over/ tells which.
        end(job);
        return;
      }
      for (Chunk c : removed) {
        if (conflict.failed().contains(Keys.run(ref, c.index))) {
          writer.readBack(job, c);
        }
      }
    }
    office.timers.after(office.retryMs, () -> finish(job));
  }

  /** Deletes the records of a job that is over, each once nothing in it can be running. */
  @Override
  public void over(Job job) {
    if (!office.held()) {
      return;
    }
    boolean left = false;
    for (Chunk c : job.chunks.values()) {
      if (!c.empty() || c.stamp != 0 || c.inFlight) {
        left = true;
      }
      if (c.empty() && c.stamp != 0 && !c.inFlight) {
        removeRecord(job, c);
      }
    }
    if (!left) {
      job.chunks.values().forEach(writer.sheets()::released);
      jobs.remove(job.spec().ref(), job);
    }
  }

  private void removeRecord(Job job, Chunk c) {
    c.inFlight = true;
    String key = Keys.run(job.spec().ref(), c.index);
    Txn txn = office.leadership.guard(new Txn()).when(key, c.stamp).remove(key);
    long term = office.term();
    office.state.commit(
        txn,
        Priority.BOOKKEEPING,
        office.settings.workers().leaseMs(),
        outcome -> {
          if (!office.still(term)) {
            return;
          }
          c.inFlight = false;
          if (outcome instanceof Outcome.Applied) {
            c.stamp = 0;
            over(job);
          } else if (office.leadership.deposedBy(outcome)) {
            return;
          } else if (outcome instanceof Outcome.Refused) {
            office.timers.after(4 * office.retryMs, () -> over(job));
          } else {
            c.inFlight = true;
            office.timers.after(office.retryMs, () -> writer.readBack(job, c));
          }
        });
  }
}
