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

/** Builds a new leader's attempts from the records of the leaders before it. */
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

  // The chunks for which each earlier launch batch still counts.
  private final Map<String, Set<Chunk>> chunksByLaunchBatch = new HashMap<>();
  // Ended jobs whose time of end this leader has not read yet.
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

  /**
   * Builds attempts from the records; launches are allowed once every recorded attempt is accounted
   * for.
   */
  void beginTerm(long newTerm) {
    context.beginTerm(newTerm);
    unresolvedJobs = 1;
    for (String ref : rawRecords.jobRefs()) {
      Job job = jobs.get(ref);
      LaunchBatch.JobSummary summary = rawRecords.summaryOf(ref);
      if (job != null) {
        buildAttempts(job);
      } else if (summary != null) {
        // The replica is complete and does not have the job, so the job is over.
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
   * Reads the times of end, one by one, of ended jobs that only launch batches tell of. Most of
   * their tasks are gone by now. For tasks that do not stop the time is needed, since the time
   * allowed for stopping them does not begin anew with each leader.
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
        StateKeys.finishedJob(jobToRead.spec().ref()),
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

  /** Fetches the description of an ended job whose attempts still count as its team's usage. */
  private void fetchEndedJob(long forTerm, String ref) {
    context.state.get(
        StateKeys.finishedJob(ref),
        read -> {
          if (!context.isCurrentTerm(forTerm)) {
            return;
          }
          Job job = read.exists() ? JobRecordCodec.read(read.value(), 0, chunkSize) : null;
          if (job == null) {
            if (read.known()) {
              LOG.error(
                  "attempts of job {} are recorded, but the job's record is missing or cannot be read; retrying",
                  ref);
            }
            context.timers.after(context.retryMs, () -> fetchEndedJob(forTerm, ref));
            return;
          }
          addEndedJob(job, JobRecordCodec.endedAgoMs(read.value(), context.clock.wall()));
          onJobResolved();
        });
  }

  /** Adds an ended job with its attempts, which are stopped where they still run. */
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
          "ledger ready: {} jobs, {} attempts, {} launch batches with attempts that only they record",
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
   * Drops the claims of jobs that were forgotten while descriptions were fetched, since reports
   * proved that none of their tasks is left. With such a claim a launch batch would stay on record
   * until the next leader.
   */
  private void dropClaimsOfForgottenJobs() {
    Set<Chunk> present = new LinkedHashSet<>();
    jobs.values().forEach(job -> present.addAll(job.chunks.values()));
    chunksByLaunchBatch.values().forEach(chunks -> chunks.retainAll(present));
  }

  /**
   * Adds the attempts that launch batches have beyond a job's own records. If two launch batches
   * have the same task, the higher number counts: it was assigned after the other attempt was
   * proved absent.
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
          "{}/{} attempt {} is adopted from launch batch {}",
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
        // The chunk's own record replaces the launch batch. A job of one task needs no such record:
        // that would be hundreds of puts without use.
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
    job.chunks.values().forEach(c -> c.computeMaxUnknownInterrupted(job.spec().isGang()));
    if (job.probesFailed > 0) {
      job.suspected = true;
      reconciler.delayStarts(job, context.settings.workers().reportMs());
    }
  }
}
