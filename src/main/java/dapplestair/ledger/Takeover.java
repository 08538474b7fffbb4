package dapplestair.ledger;

import dapplestair.state.StateKeys;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** How a new leader comes to its attempts: from the records of the leaders before it. */
final class Takeover {
  private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);

  private final LedgerContext context;
  private final Map<String, Job> jobs;
  private final RawAttemptRecords rawRecords;
  private final Attempts attempts;
  private final ChunkWriter writer;
  private final JobFinalizer jobFinalizer;
  private final AttemptReconciler reconciler;
  private final int chunkSize;

  // The chunks that each earlier launch batch still counts for.
  private final Map<String, Set<Chunk>> chunksByLaunchBatch = new HashMap<>();
  // Jobs that are over since a moment that is not known here.
  private final Deque<Job> jobsWithUnreadEnd = new ArrayDeque<>();
  private int unresolvedJobs;

  Takeover(
      LedgerContext context,
      Map<String, Job> jobs,
      RawAttemptRecords rawRecords,
      Attempts attempts,
      ChunkWriter writer,
      JobFinalizer jobFinalizer,
      AttemptReconciler reconciler,
      int chunkSize) {
    this.context = context;
    this.jobs = jobs;
    this.rawRecords = rawRecords;
    this.attempts = attempts;
    this.writer = writer;
    this.jobFinalizer = jobFinalizer;
    this.reconciler = reconciler;
    this.chunkSize = chunkSize;
  }

  void clear() {
    chunksByLaunchBatch.clear();
    jobsWithUnreadEnd.clear();
  }

  /** Builds attempts from the records; launches begin once nothing is unaccounted for. */
  void begin(long newTerm) {
    context.beginTerm(newTerm);
    unresolvedJobs = 1;
    for (String ref : rawRecords.jobRefs()) {
      Job job = jobs.get(ref);
      LaunchBatch.JobSummary summary = rawRecords.summaryOf(ref);
      if (job != null) {
        buildAttempts(job);
      } else if (summary != null) {
        // The replica is complete, and the job is not there: it is over.
        Job ended = new Job(summary.spec(), 0, chunkSize, 0);
        addEndedJob(ended, 0);
        jobsWithUnreadEnd.add(ended);
      } else {
        unresolvedJobs++;
        fetchEndedJob(newTerm, ref);
      }
    }
    onJobResolved();
    context.timers.after(context.settings.workers().cancelMs() / 16, () -> readNextEnd(newTerm));
  }

  /**
   * Since when jobs are over of which only launch batches told. Most are gone by now; of what does
   * not stop it has to be known, since the time allowed for it does not begin anew with each
   * leader.
   */
  private void readNextEnd(long forTerm) {
    Job job = jobsWithUnreadEnd.poll();
    while (job != null && job.heldAttempts() == 0) {
      job = jobsWithUnreadEnd.poll();
    }
    if (job == null) {
      return;
    }
    Job jobToRead = job;
    context.state.get(
        StateKeys.over(jobToRead.spec().ref()),
        read -> {
          if (!context.isCurrentTerm(forTerm)) {
            return;
          }
          if (read.exists()) {
            setEndedAgo(jobToRead, JobRecordCodec.endedAgoMs(read.value(), context.clock.wall()));
          } else {
            jobsWithUnreadEnd.add(jobToRead);
          }
          context.timers.after(context.retryMs, () -> readNextEnd(forTerm));
        });
  }

  private void setEndedAgo(Job job, long agoMs) {
    job.endedAtMs = Math.min(job.endedAtMs, context.clock.now() - agoMs);
  }

  /** Attempts of a job that is over still use its team's share: its description is needed. */
  private void fetchEndedJob(long forTerm, String ref) {
    context.state.get(
        StateKeys.over(ref),
        read -> {
          if (!context.isCurrentTerm(forTerm)) {
            return;
          }
          Job job = read.exists() ? JobRecordCodec.read(read.value(), 0, chunkSize) : null;
          if (job == null) {
            if (read.known()) {
              LOG.error("attempts of {} are recorded, but no such job", ref);
            }
            context.timers.after(context.retryMs, () -> fetchEndedJob(forTerm, ref));
            return;
          }
          addEndedJob(job, JobRecordCodec.endedAgoMs(read.value(), context.clock.wall()));
          onJobResolved();
        });
  }

  /** Enters the attempts of a job that is over: they are stopped where they still run. */
  private void addEndedJob(Job job, long endedAgoMs) {
    jobs.put(job.spec().ref(), job);
    buildAttempts(job);
    jobFinalizer.endJob(job);
    setEndedAgo(job, endedAgoMs);
  }

  private void onJobResolved() {
    if (--unresolvedJobs == 0) {
      dropClaimsOfForgottenJobs();
      rawRecords
          .stampByLaunchBatch()
          .forEach(
              (key, stamp) ->
                  writer
                      .launchBatches()
                      .adopt(key, stamp, chunksByLaunchBatch.getOrDefault(key, Set.of())));
      context.markReady();
      rawRecords.clear();
      int claimedBatchCount = chunksByLaunchBatch.size();
      chunksByLaunchBatch.clear();
      LOG.info(
          "ledger ready: {} jobs, {} attempts, {} launch batches that still count",
          jobs.size(),
          jobs.values().stream().mapToInt(Job::heldAttempts).sum(),
          claimedBatchCount);
      for (Job job : List.copyOf(jobs.values())) {
        jobFinalizer.finishIfDone(job);
      }
      context.callbacks.onChanged();
    }
  }

  /**
   * While descriptions were fetched, reports may have proved that nothing is left of a job that is
   * over. It is forgotten then: with its claim a launch batch would stay on record until the next
   * leader.
   */
  private void dropClaimsOfForgottenJobs() {
    Set<Chunk> present = new LinkedHashSet<>();
    jobs.values().forEach(job -> present.addAll(job.chunks.values()));
    chunksByLaunchBatch.values().forEach(chunks -> chunks.retainAll(present));
  }

  /**
   * Enters what the launch batches add to a job's own records. Of two launch batches with the same
   * task the higher number counts: it was given out after the other one was proved absent.
   */
  private void readLaunchBatches(Job job) {
    Int2ObjectMap<RawAttemptRecords.BatchedAttempt> newestByStep = new Int2ObjectOpenHashMap<>();
    for (RawAttemptRecords.BatchedAttempt batched : rawRecords.batchedAttempts(job.spec().ref())) {
      LaunchBatch.Entry entry = batched.entry();
      if (entry.number() > job.chunkOf(entry.step()).recordedNumber) {
        newestByStep.merge(
            entry.step(), batched, (a, b) -> a.entry().number() > b.entry().number() ? a : b);
        chunksByLaunchBatch
            .computeIfAbsent(batched.batchKey(), k -> new LinkedHashSet<>())
            .add(job.chunkOf(entry.step()));
      }
    }
    for (RawAttemptRecords.BatchedAttempt batched : newestByStep.values()) {
      LaunchBatch.Entry entry = batched.entry();
      Chunk chunk = job.chunkOf(entry.step());
      chunk.lastNumber = Math.max(chunk.lastNumber, entry.number());
      LOG.debug(
          "{}/{} try {} is read from {}",
          entry.ref(),
          entry.step(),
          entry.number(),
          batched.batchKey());
      Attempt olderAttempt = chunk.attemptsByStep.get(entry.step());
      if (olderAttempt != null) {
        attempts.remove(olderAttempt);
      }
      adoptAttempt(
          job, chunk, entry.step(), entry.number(), entry.host(), entry.zone(), entry.session());
      if (!ChunkWriter.isSingleTask(job)) {
        // Its own record takes over. A job of one task needs none: hundreds of puts, for nothing.
        writer.markDirty(job, chunk, false);
      }
    }
  }

  private void adoptAttempt(
      Job job, Chunk chunk, int step, long number, String host, String zone, long session) {
    Attempt attempt = new Attempt(job, step, number, host, zone, session, context.clock.now());
    attempt.markAdopted(context.term());
    attempts.register(chunk, attempt);
  }

  private void buildAttempts(Job job) {
    for (Int2ObjectMap.Entry<RawAttemptRecords.VersionedRecord> entry :
        rawRecords.recordsOf(job.spec().ref()).int2ObjectEntrySet()) {
      Chunk chunk = job.chunk(entry.getIntKey());
      job.probesFailed = Math.max(job.probesFailed, Chunk.probesFailed(entry.getValue().value()));
      chunk.read(
          entry.getValue().value(),
          entry.getValue().stamp(),
          (step, number, host, zone, session) ->
              adoptAttempt(job, chunk, step, number, host, zone, session));
    }
    readLaunchBatches(job);
    job.chunks.values().forEach(c -> c.computeMaxUnknownInterrupted(job.spec().gang()));
    if (job.probesFailed > 0) {
      job.suspected = true;
      reconciler.delayStarts(job, context.settings.workers().reportMs());
    }
  }
}
