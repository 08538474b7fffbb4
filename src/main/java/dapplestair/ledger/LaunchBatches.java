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
  interface Chunks {
    /** True when this chunk has launches to record and nothing of it is under way. */
    boolean waits(Job job, Chunk chunk);

    /** Records one chunk by itself. */
    void alone(Job job, Chunk chunk);

    /** The put was made, or not: what waited may go on. */
    void landed(Job job, Chunk chunk, boolean made);

    /** The job was cancelled before this attempt's launch was sent. */
    void dropped(Attempt unsent);
  }

  private record PendingLaunch(Job job, Chunk chunk) {}

  /** One put under way. */
  private static final class InFlightPut {
    LaunchBatch launchBatch;
    final List<PendingLaunch> of = new ArrayList<>();
    final List<Attempt> planned = new ArrayList<>();
  }

  /** Launches that share puts among themselves. */
  private static final class Group {
    final Priority priority;
    final int few;
    final long everyMs;
    final Map<Chunk, Job> waiting = new LinkedHashMap<>();
    boolean queued;
    long sentAt = Long.MIN_VALUE / 2;

    Group(Priority priority, int few, long everyMs) {
      this.priority = priority;
      this.few = few;
      this.everyMs = everyMs;
    }
  }

  // Fewer than these are recorded one by one: a launch batch is one put more in the end. The record
  // of a single task's own is deleted in the end as well.
  private static final int FEW_REPLICAS = 4;
  private static final int FEW_SINGLES = 2;

  private final LedgerContext context;
  private final Chunks chunks;
  private final boolean on;
  private final Group replicas;
  private final Group singles;
  private final Map<String, LaunchBatch> launchBatches = new LinkedHashMap<>();
  private long counter;

  LaunchBatches(LedgerContext context, Chunks chunks, boolean on) {
    this.context = context;
    this.chunks = chunks;
    this.on = on;
    replicas = new Group(Priority.REPLICA, FEW_REPLICAS, 0);
    long quarter = context.settings.workers().reportMs() / 4;
    singles = new Group(Priority.LAUNCH, FEW_SINGLES, quarter);
  }

  void clear() {
    for (Group group : List.of(replicas, singles)) {
      group.waiting.clear();
      group.queued = false;
    }
    launchBatches.clear();
    counter = 0;
  }

  /** Launch batches that are recorded. */
  int count() {
    return launchBatches.size();
  }

  /** A chunk of a service, or of a job of one task, has launches to record. */
  void add(Job job, Chunk chunk) {
    if (!on) {
      chunks.alone(job, chunk);
      return;
    }
    Group group = job.spec().isService() ? replicas : singles;
    group.waiting.put(chunk, job);
    if (!group.queued) {
      group.queued = true;
      // Those of the same turn come together; of a swarm, all since the put before.
      long next = group.sentAt + group.everyMs - context.clock.now();
      context.timers.after(Math.max(0, next), () -> enqueue(group));
    }
  }

  private void enqueue(Group group) {
    InFlightPut flight = new InFlightPut();
    long term = context.term();
    context.state.commit(
        1,
        () -> context.term() == term ? build(group, flight) : null,
        group.priority,
        context.settings.workers().reportMs(),
        outcome -> {
          if (!context.still(term)) {
            return;
          }
          if (flight.launchBatch == null) {
            // Its turn did not come in time.
            context.timers.after(context.retryMs, () -> enqueue(group));
          } else if (outcome instanceof TxnOutcome.Unknown) {
            readBack(flight, term);
          } else {
            landed(flight, outcome);
          }
        });
  }

  private Txn build(Group group, InFlightPut flight) {
    group.queued = false;
    group.sentAt = context.clock.now();
    if (!context.leadership.leading()) {
      return null;
    }
    List<PendingLaunch> ready = new ArrayList<>();
    group.waiting.forEach((c, job) -> ready.add(new PendingLaunch(job, c)));
    group.waiting.clear();
    ready.removeIf(w -> !chunks.waits(w.job, w.chunk));
    if (ready.size() < group.few) {
      ready.forEach(w -> chunks.alone(w.job, w.chunk));
      return null;
    }
    ready.sort(Comparator.comparingInt(w -> w.job.spec().rank().ordinal()));
    fill(flight, ready);
    Txn txn = context.leadership.guard(new Txn());
    for (PendingLaunch w : flight.of) {
      // The job's own stamp: nothing starts for a job that was cancelled meanwhile.
      txn.when(StateKeys.job(w.job.spec().ref()), w.job.stamp);
      w.chunk.inFlight = true;
    }
    LaunchBatch launchBatch = new LaunchBatch(StateKeys.launchBatch(context.term(), ++counter));
    flight.launchBatch = launchBatch;
    launchBatches.put(launchBatch.key, launchBatch);
    return txn.when(launchBatch.key, 0).put(launchBatch.key, LaunchBatch.write(flight.planned));
  }

  /** Takes as many as one value and the conditions of one transaction hold; the others wait on. */
  private void fill(InFlightPut flight, List<PendingLaunch> ready) {
    int mostJobs = 4 * context.settings.state().txnOps() - 2;
    int mostEntries = LaunchBatch.capacity(context.settings.state().valueBytes());
    if (!ready.isEmpty() && ChunkWriter.single(ready.get(0).job)) {
      // With each entry goes what its job takes.
      mostEntries /= 2;
    }
    for (PendingLaunch waiting : ready) {
      List<Attempt> planned =
          waiting.chunk.live.values().stream()
              .filter(a -> a.phase == Attempt.Phase.PLANNED)
              .toList();
      boolean fits =
          flight.of.size() < mostJobs && flight.planned.size() + planned.size() <= mostEntries;
      if (fits) {
        flight.of.add(waiting);
        flight.planned.addAll(planned);
      } else if (planned.size() > mostEntries) {
        chunks.alone(waiting.job, waiting.chunk);
      } else {
        add(waiting.job, waiting.chunk);
      }
    }
  }

  /**
   * No answer: it may have been made, or may be made yet. If it is made later, what it says of
   * these attempts will be on record elsewhere as well, and it is taken away once the replica shows
   * it.
   */
  private void readBack(InFlightPut flight, long term) {
    context.state.get(
        flight.launchBatch.key,
        read -> {
          if (!context.still(term)) {
            return;
          }
          if (read.exists()) {
            landed(flight, new TxnOutcome.Applied(read.stamp()));
          } else if (read.known()) {
            landed(flight, new TxnOutcome.Refused());
          } else {
            context.timers.after(context.retryMs, () -> readBack(flight, term));
          }
        });
  }

  private void landed(InFlightPut flight, TxnOutcome outcome) {
    flight.of.forEach(w -> w.chunk.inFlight = false);
    boolean made = outcome instanceof TxnOutcome.Applied;
    if (outcome instanceof TxnOutcome.Applied applied) {
      flight.launchBatch.stamp = applied.stamp();
      for (PendingLaunch w : flight.of) {
        flight.launchBatch.claims.add(w.chunk);
        w.chunk.launchBatches.add(flight.launchBatch);
      }
      for (Attempt attempt : flight.planned) {
        if (attempt.job.chunkOf(attempt.step).live.get(attempt.step) == attempt
            && attempt.phase == Attempt.Phase.PLANNED) {
          context.launch(attempt, flight.launchBatch.key, applied.stamp());
        }
      }
    } else if (outcome instanceof TxnOutcome.Conflict conflict) {
      launchBatches.remove(flight.launchBatch.key);
      if (context.leadership.deposedBy(outcome)) {
        return;
      }
      dropCancelled(flight, conflict);
    } else {
      launchBatches.remove(flight.launchBatch.key);
    }
    flight.of.forEach(w -> chunks.landed(w.job, w.chunk, made));
  }

  private void dropCancelled(InFlightPut flight, TxnOutcome.Conflict conflict) {
    for (Attempt attempt : flight.planned) {
      if (conflict.failed().contains(StateKeys.job(attempt.job.spec().ref()))
          && attempt.job.chunkOf(attempt.step).live.get(attempt.step) == attempt
          && !attempt.sent()) {
        chunks.dropped(attempt);
      }
    }
  }

  /** Its own record knows all of a chunk's attempts now, or nothing of it can be running. */
  void released(Chunk chunk) {
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
  void shown(String key, long stamp) {
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
          if (!context.still(term)) {
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
