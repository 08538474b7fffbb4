package dapplestair.ledger;

import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;
import dapplestair.state.TxnOutcome;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the launches of many services by one put. After the loss of a zone or of many machines,
 * the replicas of hundreds of services start at the same moment; with a put for each, the last of
 * them would wait for a dozen seconds. Launches of jobs of one task share puts in the same way.
 * Arrays record their launches in their own chunks: these are written again with each task that
 * ends, and a completed job must leave no records behind.
 */
final class LaunchBatches {
  /** Access to the chunks' own records, which later replace the launch batches. */
  interface ChunkRecords {
    /** Returns true if this chunk has launches to record and no put of it is in flight. */
    boolean hasPendingLaunches(Job job, Chunk chunk);

    /** Records a chunk's launches in the chunk's own record. */
    void writeSeparately(Job job, Chunk chunk);

    /**
     * Reports that a launch batch's put has ended; {@code applied} tells whether it was made.
     * Changes of the chunk that waited for it may be written now.
     */
    void onBatchPut(Job job, Chunk chunk, boolean applied);

    /** Reports that the job was cancelled before this attempt's launch was sent. */
    void onUnsentCancelled(Attempt unsent);
  }

  private record PendingLaunch(Job job, Chunk chunk) {}

  /** One launch batch's put, from its queuing to its outcome. */
  private static final class InFlightPut {
    LaunchBatch launchBatch;
    final List<PendingLaunch> launches = new ArrayList<>();
    final List<Attempt> plannedAttempts = new ArrayList<>();
  }

  /** Launches of one kind that share puts. */
  private static final class Group {
    final Priority priority;
    final int minBatchChunks;
    final long minIntervalMs;
    final Map<Chunk, Job> jobByWaitingChunk = new LinkedHashMap<>();
    boolean putQueued;
    long lastPutAtMs = Long.MIN_VALUE / 2;

    Group(Priority priority, int minBatchChunks, long minIntervalMs) {
      this.priority = priority;
      this.minBatchChunks = minBatchChunks;
      this.minIntervalMs = minIntervalMs;
    }
  }

  // Fewer chunks than this are recorded one by one, since a launch batch costs one more put when it
  // is deleted. The record of a job of one task is deleted in the end as well, so that its minimum
  // is lower.
  private static final int MIN_REPLICA_BATCH_CHUNKS = 4;
  private static final int MIN_SINGLE_TASK_BATCH_CHUNKS = 2;

  private final LedgerContext context;
  private final ChunkRecords chunkRecords;
  private final boolean enabled;
  private final Group replicas;
  private final Group singleTasks;
  private final Map<String, LaunchBatch> launchBatches = new LinkedHashMap<>();
  private long lastBatchNumber;

  LaunchBatches(LedgerContext context, ChunkRecords chunkRecords, boolean enabled) {
    this.context = context;
    this.chunkRecords = chunkRecords;
    this.enabled = enabled;
    replicas = new Group(Priority.REPLICA, MIN_REPLICA_BATCH_CHUNKS, 0);
    long quarterReportMs = context.settings.workers().reportMs() / 4;
    singleTasks = new Group(Priority.LAUNCH, MIN_SINGLE_TASK_BATCH_CHUNKS, quarterReportMs);
  }

  void clear() {
    for (Group group : List.of(replicas, singleTasks)) {
      group.jobByWaitingChunk.clear();
      group.putQueued = false;
    }
    launchBatches.clear();
    lastBatchNumber = 0;
  }

  /** Returns the number of launch batches on record. */
  int count() {
    return launchBatches.size();
  }

  /** Queues a chunk of a service, or of a job of one task, that has launches to record. */
  void add(Job job, Chunk chunk) {
    if (!enabled) {
      chunkRecords.writeSeparately(job, chunk);
      return;
    }
    Group group = job.spec().isService() ? replicas : singleTasks;
    group.jobByWaitingChunk.put(chunk, job);
    if (!group.putQueued) {
      group.putQueued = true;
      // Replicas that are planned in the same turn of the event loop share a put; of jobs of one
      // task, all that were planned since the previous put do.
      long delayMs = group.lastPutAtMs + group.minIntervalMs - context.clock.now();
      context.timers.after(Math.max(0, delayMs), () -> enqueue(group));
    }
  }

  private void enqueue(Group group) {
    InFlightPut inFlightPut = new InFlightPut();
    long term = context.term();
    context.state.commit(
        1,
        () -> context.term() == term ? buildTxn(group, inFlightPut) : null,
        group.priority,
        context.settings.workers().reportMs(),
        outcome -> {
          if (!context.isCurrentTerm(term)) {
            return;
          }
          if (inFlightPut.launchBatch == null) {
            // The put was not sent before its time limit.
            context.timers.after(context.retryMs, () -> enqueue(group));
          } else if (outcome instanceof TxnOutcome.Unknown) {
            readBack(inFlightPut, term);
          } else {
            onPutFinished(inFlightPut, outcome);
          }
        });
  }

  private Txn buildTxn(Group group, InFlightPut inFlightPut) {
    group.putQueued = false;
    group.lastPutAtMs = context.clock.now();
    if (!context.leadership.isLeading()) {
      return null;
    }
    List<PendingLaunch> ready = new ArrayList<>();
    group.jobByWaitingChunk.forEach((c, job) -> ready.add(new PendingLaunch(job, c)));
    group.jobByWaitingChunk.clear();
    ready.removeIf(w -> !chunkRecords.hasPendingLaunches(w.job, w.chunk));
    if (ready.size() < group.minBatchChunks) {
      ready.forEach(w -> chunkRecords.writeSeparately(w.job, w.chunk));
      return null;
    }
    ready.sort(Comparator.comparingInt(w -> w.job.spec().rank().ordinal()));
    fill(inFlightPut, ready);
    Txn txn = context.leadership.guard(new Txn());
    for (PendingLaunch launch : inFlightPut.launches) {
      // The condition on the job's own stamp keeps a job that was cancelled meanwhile from
      // starting.
      txn.when(StateKeys.job(launch.job.spec().ref()), launch.job.stamp);
      launch.chunk.inFlight = true;
    }
    LaunchBatch launchBatch =
        new LaunchBatch(StateKeys.launchBatch(context.term(), ++lastBatchNumber));
    inFlightPut.launchBatch = launchBatch;
    launchBatches.put(launchBatch.key, launchBatch);
    return txn.when(launchBatch.key, 0)
        .put(launchBatch.key, LaunchBatch.write(inFlightPut.plannedAttempts));
  }

  /**
   * Takes as many launches as one value and the conditions of one transaction hold; the others are
   * queued again.
   */
  private void fill(InFlightPut inFlightPut, List<PendingLaunch> ready) {
    int maxJobs = 4 * context.settings.state().txnOps() - 2;
    int maxEntries = LaunchBatch.capacity(context.settings.state().valueBytes());
    if (!ready.isEmpty() && ChunkWriter.isSingleTask(ready.get(0).job)) {
      // Each entry carries a summary of its job's resources, too.
      maxEntries /= 2;
    }
    for (PendingLaunch launch : ready) {
      List<Attempt> planned =
          launch.chunk.attemptsByStep.values().stream()
              .filter(a -> a.phase == Attempt.Phase.PLANNED)
              .toList();
      boolean fitsInPut =
          inFlightPut.launches.size() < maxJobs
              && inFlightPut.plannedAttempts.size() + planned.size() <= maxEntries;
      if (fitsInPut) {
        inFlightPut.launches.add(launch);
        inFlightPut.plannedAttempts.addAll(planned);
      } else if (planned.size() > maxEntries) {
        chunkRecords.writeSeparately(launch.job, launch.chunk);
      } else {
        add(launch.job, launch.chunk);
      }
    }
  }

  /**
   * Reads back a put without an answer: it may have been made, or may be made yet. If it is made
   * later, its attempts are on record elsewhere by then, and the launch batch is removed once the
   * replica shows it.
   */
  private void readBack(InFlightPut inFlightPut, long term) {
    context.state.get(
        inFlightPut.launchBatch.key,
        read -> {
          if (!context.isCurrentTerm(term)) {
            return;
          }
          if (read.exists()) {
            onPutFinished(inFlightPut, new TxnOutcome.Applied(read.stamp()));
          } else if (read.known()) {
            onPutFinished(inFlightPut, new TxnOutcome.Refused());
          } else {
            context.timers.after(context.retryMs, () -> readBack(inFlightPut, term));
          }
        });
  }

  private void onPutFinished(InFlightPut inFlightPut, TxnOutcome outcome) {
    inFlightPut.launches.forEach(w -> w.chunk.inFlight = false);
    boolean wasApplied = outcome instanceof TxnOutcome.Applied;
    if (outcome instanceof TxnOutcome.Applied applied) {
      inFlightPut.launchBatch.stamp = applied.stamp();
      for (PendingLaunch launch : inFlightPut.launches) {
        inFlightPut.launchBatch.claimingChunks.add(launch.chunk);
        launch.chunk.launchBatches.add(inFlightPut.launchBatch);
      }
      for (Attempt attempt : inFlightPut.plannedAttempts) {
        if (attempt.job.chunkOf(attempt.step).attemptsByStep.get(attempt.step) == attempt
            && attempt.phase == Attempt.Phase.PLANNED) {
          context.launch(attempt, inFlightPut.launchBatch.key, applied.stamp());
        }
      }
    } else if (outcome instanceof TxnOutcome.Conflict conflict) {
      launchBatches.remove(inFlightPut.launchBatch.key);
      if (context.leadership.stepDownIfDeposed(outcome)) {
        return;
      }
      dropCancelled(inFlightPut, conflict);
    } else {
      launchBatches.remove(inFlightPut.launchBatch.key);
    }
    inFlightPut.launches.forEach(w -> chunkRecords.onBatchPut(w.job, w.chunk, wasApplied));
  }

  private void dropCancelled(InFlightPut inFlightPut, TxnOutcome.Conflict conflict) {
    for (Attempt attempt : inFlightPut.plannedAttempts) {
      if (conflict.failedKeys().contains(StateKeys.job(attempt.job.spec().ref()))
          && attempt.job.chunkOf(attempt.step).attemptsByStep.get(attempt.step) == attempt
          && !attempt.isSent()) {
        chunkRecords.onUnsentCancelled(attempt);
      }
    }
  }

  /**
   * Releases a chunk's claims: the chunk's own record has all of its attempts now, or none of them
   * can be running.
   */
  void releaseClaims(Chunk chunk) {
    for (LaunchBatch launchBatch : List.copyOf(chunk.launchBatches)) {
      launchBatch.claimingChunks.remove(chunk);
      removeIfEmpty(launchBatch);
    }
    chunk.launchBatches.clear();
  }

  /** Adds an earlier leader's launch batch, with the chunks for which it still counts. */
  void adopt(String key, long stamp, Collection<Chunk> claimingChunks) {
    LaunchBatch launchBatch = new LaunchBatch(key);
    launchBatch.stamp = stamp;
    launchBatches.put(key, launchBatch);
    launchBatch.claimingChunks.addAll(claimingChunks);
    claimingChunks.forEach(c -> c.launchBatches.add(launchBatch));
    removeIfEmpty(launchBatch);
  }

  /**
   * Handles a launch batch that the replica shows. One that is unknown is a late put that this
   * leader took for lost: it is adopted without claims, and so removed.
   */
  void onBatchShown(String key, long stamp) {
    if (!launchBatches.containsKey(key)) {
      adopt(key, stamp, List.of());
    }
  }

  private void removeIfEmpty(LaunchBatch launchBatch) {
    if (!launchBatch.claimingChunks.isEmpty()
        || launchBatch.removalInFlight
        || launchBatch.stamp == 0) {
      return;
    }
    launchBatch.removalInFlight = true;
    long term = context.term();
    context.state.commit(
        context
            .leadership
            .guard(new Txn())
            .when(launchBatch.key, launchBatch.stamp)
            .remove(launchBatch.key),
        Priority.BOOKKEEPING,
        context.settings.workers().leaseMs(),
        outcome -> {
          if (!context.isCurrentTerm(term)) {
            return;
          }
          launchBatch.removalInFlight = false;
          if (outcome instanceof TxnOutcome.Applied) {
            launchBatches.remove(launchBatch.key);
          } else if (context.leadership.stepDownIfDeposed(outcome)) {
            return;
          } else if (outcome instanceof TxnOutcome.Conflict) {
            launchBatches.remove(launchBatch.key);
          } else {
            context.timers.after(4 * context.retryMs, () -> removeIfEmpty(launchBatch));
          }
        });
  }
}
