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
  private final Map<String, Set<Chunk>> claims = new HashMap<>();
  // Jobs that are over since a moment that is not known here.
  private final Deque<Job> endUnread = new ArrayDeque<>();
  private int orphans;

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
    claims.clear();
    endUnread.clear();
  }

  /** Builds attempts from the records; launches begin once nothing is unaccounted for. */
  void begin(long newTerm) {
    context.take(newTerm);
    orphans = 1;
    for (String ref : rawRecords.refs()) {
      Job job = jobs.get(ref);
      LaunchBatch.JobSummary brief = rawRecords.brief(ref);
      if (job != null) {
        build(job);
      } else if (brief != null) {
        // The replica is complete, and the job is not there: it is over.
        Job ended = new Job(brief.spec(), 0, chunkSize, 0);
        over(ended, 0);
        endUnread.add(ended);
      } else {
        orphans++;
        fetchOrphan(newTerm, ref);
      }
    }
    orphanFound();
    context.timers.after(context.settings.workers().cancelMs() / 16, () -> readEnds(newTerm));
  }

  /**
   * Since when jobs are over of which only launch batches told. Most are gone by now; of what does
   * not stop it has to be known, since the time allowed for it does not begin anew with each
   * leader.
   */
  private void readEnds(long forTerm) {
    Job job = endUnread.poll();
    while (job != null && job.held() == 0) {
      job = endUnread.poll();
    }
    if (job == null) {
      return;
    }
    Job held = job;
    context.state.get(
        StateKeys.over(held.spec().ref()),
        read -> {
          if (!context.still(forTerm)) {
            return;
          }
          if (read.exists()) {
            overFor(held, JobRecordCodec.overForMs(read.value(), context.clock.wall()));
          } else {
            endUnread.add(held);
          }
          context.timers.after(context.retryMs, () -> readEnds(forTerm));
        });
  }

  private void overFor(Job job, long ms) {
    job.overAt = Math.min(job.overAt, context.clock.now() - ms);
  }

  /** Attempts of a job that is over still use its team's share: its description is needed. */
  private void fetchOrphan(long forTerm, String ref) {
    context.state.get(
        StateKeys.over(ref),
        read -> {
          if (!context.still(forTerm)) {
            return;
          }
          Job job = read.exists() ? JobRecordCodec.read(read.value(), 0, chunkSize) : null;
          if (job == null) {
            if (read.known()) {
              LOG.error("attempts of {} are recorded, but no such job", ref);
            }
            context.timers.after(context.retryMs, () -> fetchOrphan(forTerm, ref));
            return;
          }
          over(job, JobRecordCodec.overForMs(read.value(), context.clock.wall()));
          orphanFound();
        });
  }

  /** Enters the attempts of a job that is over: they are stopped where they still run. */
  private void over(Job job, long ms) {
    jobs.put(job.spec().ref(), job);
    build(job);
    jobFinalizer.end(job);
    overFor(job, ms);
  }

  private void orphanFound() {
    if (--orphans == 0) {
      dropClaimsOfForgottenJobs();
      rawRecords
          .launchBatches()
          .forEach(
              (key, stamp) ->
                  writer.launchBatches().adopt(key, stamp, claims.getOrDefault(key, Set.of())));
      context.arm();
      rawRecords.clear();
      int claimed = claims.size();
      claims.clear();
      LOG.info(
          "ledger ready: {} jobs, {} attempts, {} launch batches that still count",
          jobs.size(),
          jobs.values().stream().mapToInt(Job::held).sum(),
          claimed);
      for (Job job : List.copyOf(jobs.values())) {
        jobFinalizer.finishIfDone(job);
      }
      context.callbacks.changed();
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
    claims.values().forEach(chunks -> chunks.retainAll(present));
  }

  /**
   * Enters what the launch batches add to a job's own records. Of two launch batches with the same
   * task the higher number counts: it was given out after the other one was proved absent.
   */
  private void readLaunchBatches(Job job) {
    Int2ObjectMap<RawAttemptRecords.OnLaunchBatch> newest = new Int2ObjectOpenHashMap<>();
    for (RawAttemptRecords.OnLaunchBatch on : rawRecords.onLaunchBatches(job.spec().ref())) {
      LaunchBatch.Entry entry = on.entry();
      if (entry.number() > job.chunkOf(entry.step()).recordedNumber) {
        newest.merge(entry.step(), on, (a, b) -> a.entry().number() > b.entry().number() ? a : b);
        claims.computeIfAbsent(on.key(), k -> new LinkedHashSet<>()).add(job.chunkOf(entry.step()));
      }
    }
    for (RawAttemptRecords.OnLaunchBatch on : newest.values()) {
      LaunchBatch.Entry entry = on.entry();
      Chunk chunk = job.chunkOf(entry.step());
      chunk.lastNumber = Math.max(chunk.lastNumber, entry.number());
      LOG.debug(
          "{}/{} try {} is read from {}", entry.ref(), entry.step(), entry.number(), on.key());
      Attempt older = chunk.live.get(entry.step());
      if (older != null) {
        attempts.retire(older);
      }
      enter(job, chunk, entry.step(), entry.number(), entry.host(), entry.zone(), entry.session());
      if (!ChunkWriter.single(job)) {
        // Its own record takes over. A job of one task needs none: hundreds of puts, for nothing.
        writer.dirty(job, chunk, false);
      }
    }
  }

  private void enter(
      Job job, Chunk chunk, int step, long number, String host, String zone, long session) {
    Attempt attempt = new Attempt(job, step, number, host, zone, session, context.clock.now());
    attempt.adoptedBy(context.term());
    attempts.enter(chunk, attempt);
  }

  private void build(Job job) {
    for (Int2ObjectMap.Entry<RawAttemptRecords.VersionedRecord> entry :
        rawRecords.of(job.spec().ref()).int2ObjectEntrySet()) {
      Chunk c = job.chunk(entry.getIntKey());
      job.probesFailed = Math.max(job.probesFailed, Chunk.probesFailed(entry.getValue().value()));
      c.read(
          entry.getValue().value(),
          entry.getValue().stamp(),
          (step, number, host, zone, session) -> enter(job, c, step, number, host, zone, session));
    }
    readLaunchBatches(job);
    job.chunks.values().forEach(c -> c.countUnknown(job.spec().isGang()));
    if (job.probesFailed > 0) {
      job.suspected = true;
      reconciler.holdBack(job, context.settings.workers().reportMs());
    }
  }
}
