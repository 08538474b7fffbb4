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
 * Records the launches of many services by one put. After a zone or many machines are lost, the
 * replicas of hundreds of services start at the same moment; with a put for each, the last of them
 * would wait for a dozen seconds. Arrays record their launches in their own chunks: those are
 * written again with each task that ends, and a job that is done must leave nothing behind.
 */
final class LaunchBatches {
  /** The chunks' own records, which take over in time. */
  interface ChunkRecords {
    /** True when this chunk has launches to record and nothing of it is under way. */
    boolean hasPendingLaunches(Job job, Chunk chunk);

    /** Records one chunk by itself. */
    void writeSeparately(Job job, Chunk chunk);

    /** The put was made, or not: what waited may go on. */
    void onBatchPut(Job job, Chunk chunk, boolean applied);

    /** The job was cancelled before this attempt's launch was sent. */
    void onUnsentCancelled(Attempt unsent);
  }

  private record PendingLaunch(Job job, Chunk chunk) {}

  /** One put under way. */
  private static final class InFlightPut {
    LaunchBatch launchBatch;
    final List<PendingLaunch> launches = new ArrayList<>();
    final List<Attempt> plannedAttempts = new ArrayList<>();
  }

  /** Launches that share puts among themselves. */
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

  // Fewer than these are recorded one by one: a launch batch is one put more in the end. The record
  // of a single task's own is deleted in the end as well.
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

  /** Launch batches that are recorded. */
  int count() {
    return launchBatches.size();
  }

  /** A chunk of a service, or of a job of one task, has launches to record. */
  void add(Job job, Chunk chunk) {
    if (!enabled) {
      chunkRecords.writeSeparately(job, chunk);
      return;
    }
    Group group = job.spec().service() ? replicas : singleTasks;
    group.jobByWaitingChunk.put(chunk, job);
    if (!group.putQueued) {
      group.putQueued = true;
      // Those of the same turn come together; of a swarm, all since the put before.
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
            // Its turn did not come in time.
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
    if (!context.leadership.leading()) {
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
      // The job's own stamp: nothing starts for a job that was cancelled meanwhile.
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

  /** Takes as many as one value and the conditions of one transaction hold; the others wait on. */
  private void fill(InFlightPut inFlightPut, List<PendingLaunch> ready) {
    int maxJobs = 4 * context.settings.state().txnOps() - 2;
    int maxEntries = LaunchBatch.capacity(context.settings.state().valueBytes());
    if (!ready.isEmpty() && ChunkWriter.isSingleTask(ready.get(0).job)) {
      // With each entry goes what its job takes.
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
   * No answer: it may have been made, or may be made yet. If it is made later, what it says of
   * these attempts will be on record elsewhere as well, and it is taken away once the replica shows
   * it.
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
        inFlightPut.launchBatch.claims.add(launch.chunk);
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
      if (context.leadership.deposedBy(outcome)) {
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
      if (conflict.failed().contains(StateKeys.job(attempt.job.spec().ref()))
          && attempt.job.chunkOf(attempt.step).attemptsByStep.get(attempt.step) == attempt
          && !attempt.isSent()) {
        chunkRecords.onUnsentCancelled(attempt);
      }
    }
  }

  /** Its own record knows all of a chunk's attempts now, or nothing of it can be running. */
  void releaseClaims(Chunk chunk) {
    for (LaunchBatch launchBatch : List.copyOf(chunk.launchBatches)) {
      launchBatch.claims.remove(chunk);
      removeIfEmpty(launchBatch);
    }
    chunk.launchBatches.clear();
  }

  /** An earlier leader's launch batch, with the chunks that it still counts for. */
  void adopt(String key, long stamp, Collection<Chunk> claims) {
    LaunchBatch launchBatch = new LaunchBatch(key);
    launchBatch.stamp = stamp;
    launchBatches.put(key, launchBatch);
    launchBatch.claims.addAll(claims);
    claims.forEach(c -> c.launchBatches.add(launchBatch));
    removeIfEmpty(launchBatch);
  }

  /** The replica shows a launch batch. One that this leader took for lost has come late. */
  void onBatchShown(String key, long stamp) {
    if (!launchBatches.containsKey(key)) {
      adopt(key, stamp, List.of());
    }
  }

  private void removeIfEmpty(LaunchBatch launchBatch) {
    if (!launchBatch.claims.isEmpty() || launchBatch.removing || launchBatch.stamp == 0) {
      return;
    }
    launchBatch.removing = true;
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
          launchBatch.removing = false;
          if (outcome instanceof TxnOutcome.Applied) {
            launchBatches.remove(launchBatch.key);
          } else if (context.leadership.deposedBy(outcome)) {
            return;
          } else if (outcome instanceof TxnOutcome.Conflict) {
            launchBatches.remove(launchBatch.key);
          } else {
            context.timers.after(4 * context.retryMs, () -> removeIfEmpty(launchBatch));
          }
        });
  }
}
