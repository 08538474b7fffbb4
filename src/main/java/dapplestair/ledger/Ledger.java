package dapplestair.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.cancellations.Cancellation;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import dapplestair.work.Report;
import dapplestair.work.Submission;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * All jobs that are not over and all attempts whose absence is not proved. Followers keep the raw
 * records, so that a new leader has them at hand; only the leader builds attempts from them.
 */
public final class Ledger {
  private static final int BYTES_PER_ATTEMPT = 64;

  private final LedgerContext context;
  private final int chunkSize;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final RawAttemptRecords rawRecords = new RawAttemptRecords();
  private final TeamUsage teamUsage;
  private final JobStatistics jobStatistics;
  private final ChunkWriter writer;
  private final Attempts attempts;
  private final JobFinalizer jobFinalizer;
  private final AttemptReconciler reconciler;
  private final LaunchGate launchGate;
  private final Takeover takeover;

  /** An empty ledger; {@code withLaunchBatches} when launches of many services share one put. */
  public Ledger(
      Clock clock,
      TermTimers timers,
      Settings settings,
      StateClient state,
      Leadership leadership,
      boolean withLaunchBatches,
      LedgerCallbacks callbacks) {
    context = new LedgerContext(clock, timers, settings, state, leadership, callbacks);
    chunkSize = Math.max(1, settings.state().valueBytes() / BYTES_PER_ATTEMPT);
    jobStatistics = new JobStatistics(clock, jobs.values());
    teamUsage = new TeamUsage(settings);
    writer = new ChunkWriter(context, withLaunchBatches);
    attempts = new Attempts(context, teamUsage, writer);
    jobFinalizer = new JobFinalizer(context, writer, attempts, jobs, jobStatistics);
    reconciler = new AttemptReconciler(context, attempts, writer, jobFinalizer);
    launchGate = new LaunchGate(context, teamUsage, attempts, writer);
    takeover =
        new Takeover(
            context, jobs, rawRecords, attempts, writer, jobFinalizer, reconciler, chunkSize);
  }

  // ---- what the replica says ----

  /** A job's key has this value. */
  public void onJobPut(String ref, JsonNode value, long stamp) {
    Job existingJob = jobs.get(ref);
    if (existingJob != null) {
      existingJob.stamp = stamp;
      return;
    }
    Job job = JobRecordCodec.read(value, stamp, chunkSize);
    if (job != null) {
      jobs.put(ref, job);
      // Followers count arrivals too, so that a new leader knows what to expect. What a listing
      // brings at a start is older than that.
      if (context.clock.wall() - job.acceptedWallMs() < context.settings.workers().reportMs()) {
        context.callbacks.onJobAccepted(job);
      }
      if (context.isReady()) {
        context.callbacks.onChanged();
      }
    }
  }

  /** The form in which an accepted job is recorded, whose user first asked at a time of day. */
  public ObjectNode acceptedJobRecord(Submission submission, long firstRequestWallMs) {
    return JobRecordCodec.acceptedRecord(
        submission, context.clock.wall(), firstRequestWallMs, chunkSize);
  }

  /** The form in which a job that is over is recorded. */
  public ObjectNode endedJobRecord(Job job, String status) {
    return JobRecordCodec.endedRecord(job, status, context.clock.wall());
  }

  /** A job's key is gone: it was cancelled or is done. */
  public void onJobRemoved(String ref) {
    Job job = jobs.get(ref);
    if (job == null) {
      return;
    }
    if (!context.isTermActive()) {
      jobs.remove(ref);
      return;
    }
    if (!job.ended && !job.finishing) {
      context.callbacks.onJobCancelled(job);
    }
    jobFinalizer.endJob(job);
  }

  /**
   * A job is over for good, as another controller says that told its user so: its tasks are stopped
   * before the records say it here.
   */
  public void onJobCancelled(String ref) {
    if (context.isTermActive()) {
      onJobRemoved(ref);
    }
  }

  /** Where a job's tasks may be: what is not proved to be absent, or all that is on record. */
  public List<Cancellation.TaskLocation> taskLocations(String ref) {
    Job job = jobs.get(ref);
    if (!context.isTermActive()) {
      return rawRecords.taskLocations(ref);
    }
    return job == null
        ? List.of()
        : attempts(job).stream()
            .filter(a -> a.isSent() && !a.exited())
            .map(a -> new Cancellation.TaskLocation(a.host(), a.session(), a.step(), a.number()))
            .toList();
  }

  /** True when this job is not over, as far as this controller has read. */
  public boolean isJobActive(String ref) {
    Job job = jobs.get(ref);
    return job != null && !job.isOver();
  }

  /**
   * True when nothing of a job that is over is left on any machine; only a leader that has begun
   * can tell. Its records may be there for longer.
   */
  public boolean hasNoAttemptsLeft(String ref) {
    Job job = jobs.get(ref);
    return canLaunch() && (job == null || job.isOver() && job.heldAttempts() == 0);
  }

  /** A record of attempts has this value. */
  public void onRunPut(String ref, int chunk, JsonNode value, long stamp) {
    // A leader's own memory is ahead of its records.
    if (!context.isTermActive()) {
      rawRecords.put(ref, chunk, value, stamp);
    }
  }

  /** A record of attempts is gone. */
  public void onRunRemoved(String ref, int chunk) {
    if (!context.isTermActive()) {
      rawRecords.remove(ref, chunk);
    }
  }

  /** A launch batch of attempts has this value. */
  public void onLaunchBatchPut(String key, JsonNode value, long stamp) {
    if (!context.isTermActive()) {
      rawRecords.putLaunchBatch(key, value, stamp);
    } else {
      writer.launchBatches().onBatchShown(key, stamp);
    }
  }

  /** A launch batch of attempts is gone. */
  public void onLaunchBatchRemoved(String key) {
    if (!context.isTermActive()) {
      rawRecords.removeLaunchBatch(key);
    }
  }

  // ---- taking and giving up the lead ----

  /** Builds attempts from the records; launches begin once nothing is unaccounted for. */
  public void beginTerm(long newTerm) {
    takeover.begin(newTerm);
  }

  /** Forgets everything: the replica will tell it again. */
  public void clear() {
    jobs.clear();
    rawRecords.clear();
    takeover.clear();
    teamUsage.clear();
    jobStatistics.clear();
    writer.clear();
    context.endTerm();
  }

  /** True when launches may be planned. */
  public boolean canLaunch() {
    return launchGate.isOpen();
  }

  // ---- views ----

  /** A job that is not over or not cleaned up, or null. */
  public Job job(String ref) {
    return jobs.get(ref);
  }

  /** All such jobs, oldest known first. */
  public Collection<Job> jobs() {
    return jobs.values();
  }

  /** Tasks completed and tasks with an attempt, for display. */
  public int[] taskCounts(Job job) {
    return context.isTermActive()
        ? new int[] {job.doneCount(), job.liveCount()}
        : rawRecords.taskCounts(job.spec().ref());
  }

  /** A job's attempts whose absence is not proved; only a leader has them. */
  public List<Attempt> attempts(Job job) {
    List<Attempt> result = new ArrayList<>();
    job.chunks.values().forEach(c -> result.addAll(c.attemptsByStep.values()));
    return result;
  }

  /** How many of a job's tasks are out; {@code isReachable} tells which attempts can be heard. */
  public UnavailableTasks unavailableTasks(Job job, Predicate<Attempt> isReachable) {
    return UnavailableTasks.of(job, isReachable);
  }

  /** Up to {@code maxCount} of a job's attempts at steps from {@code fromStep} on, by step. */
  public List<Attempt> attempts(Job job, int fromStep, int maxCount) {
    List<Attempt> result = new ArrayList<>();
    int firstChunk = fromStep / job.chunkSize();
    for (Chunk chunk : job.chunks.tailMap(firstChunk).values()) {
      chunk.attemptsByStep.values().stream().filter(a -> a.step >= fromStep).forEach(result::add);
      if (result.size() >= maxCount) {
        break;
      }
    }
    result.sort(Comparator.comparingInt(a -> a.step));
    return result.subList(0, Math.min(maxCount, result.size()));
  }

  /** Launch batches that are on record; none before a former version may lead again. */
  public int launchBatchCount() {
    return context.isTermActive()
        ? writer.launchBatches().count()
        : rawRecords.stampByLaunchBatch().size();
  }

  /** Attempts whose absence is not proved. */
  public int attemptCount() {
    return jobs.values().stream().mapToInt(Job::heldAttempts).sum();
  }

  /** Starts that machines have refused since this process began, by cause. */
  public Map<String, Long> refusedStarts() {
    return reconciler.refusedStarts();
  }

  /** What became of the jobs of each team and class since this controller leads. */
  public JobStatistics jobStatistics() {
    return jobStatistics;
  }

  /** CPUs that a team's attempts use. */
  public double teamCpus(String team) {
    return teamUsage.cpus(team);
  }

  /** Accelerators that a team's attempts use. */
  public double teamGpus(String team) {
    return teamUsage.gpus(team);
  }

  // ---- the gate ----

  /** True when the team has room for one more task of this size. */
  public boolean teamAllows(Submission submission) {
    return teamUsage.allows(submission, 1);
  }

  /** True when the team has room for so many more tasks of this size. */
  public boolean teamAllows(Submission submission, int tasks) {
    return teamUsage.allows(submission, tasks);
  }

  /** How many more tasks of this size the team's limit, or its guarantee, has room for. */
  public int maxAdditionalTeamTasks(Submission submission, boolean withinGuarantee) {
    return teamUsage.maxAdditionalTasks(submission, withinGuarantee);
  }

  /** True when the job's other attempts leave room for one more in this zone. */
  public boolean zoneAllows(Job job, String zone) {
    return LaunchGate.zoneAllows(job, zone);
  }

  /** True when the job's rules let one more of its tasks start on this machine now. */
  public boolean mayStart(Job job, Machine host) {
    return launchGate.mayStart(job, host);
  }

  /**
   * Plans an attempt, the only way in which a launch begins. Whoever proposes it, it is refused
   * here unless every rule holds in the latest view.
   */
  public boolean launch(Job job, int step, Machine host) {
    return launchGate.launch(job, step, host);
  }

  /** Asks for a stop; repeated by the workers' duty until it is proved. */
  public void halt(Attempt attempt, double windDownS, StopReason why) {
    attempts.halt(attempt, windDownS, why);
  }

  // ---- what workers say ----

  /** Applies a machine's newest report. Returns tasks in it that no attempt accounts for. */
  public List<Report.Task> applyReport(Machine host, Report report) {
    return reconciler.applyReport(host, report);
  }

  /** The machine is proved to be gone: so is all that was on it. */
  public void markAllAbsent(Machine host) {
    attempts.markAllAbsent(host);
  }

  /** True when a task of this job failed on this machine. */
  public boolean hasFailedOn(Job job, Machine host) {
    return job.lastFailureMsByMachine.containsKey(host.id());
  }

  /** True when one did within the last {@code withinMs}. */
  public boolean hasFailedOn(Job job, Machine host, long withinMs) {
    return hasFailedOn(job, host)
        && context.clock.now() - job.lastFailureMsByMachine.getLong(host.id()) <= withinMs;
  }

  /** A step has failed: it waits if it did before, for longer each time. */
  public void recordStepFailure(Attempt attempt, long firstDelayMs, long maxDelayMs) {
    reconciler.recordStepFailure(attempt, firstDelayMs, maxDelayMs);
  }

  /** This step failed only since its machine was faulty: it need not wait. */
  public void clearStepFailures(Job job, int step) {
    reconciler.clearStepFailures(job, step);
  }

  /** Keeps a job from starting tasks for a while. */
  public void delayStarts(Job job, long delayMs) {
    reconciler.delayStarts(job, delayMs);
  }

  /**
   * The job fails wherever it runs: one task at a time, the next one after this pause. It goes on
   * record with whatever is written of its attempts, so that a new leader knows without a put more.
   */
  public void markSuspected(Job job, long pauseMs) {
    job.suspected = true;
    job.probesFailed++;
    reconciler.delayStarts(job, pauseMs);
  }

  /** Whether a job is left out of what is planned for, for now. */
  public void setExcludedFromPlanning(Job job, boolean excluded) {
    job.excludedFromPlanning = excluded;
  }

  /** A job that was held back need not wait any more. */
  public void resumeStarts(Job job) {
    job.startsDelayedUntilMs = 0;
  }

  /** It works after all. */
  public void clearSuspicion(Job job) {
    job.suspected = false;
    job.probesFailed = 0;
    job.startsDelayedUntilMs = 0;
    context.callbacks.onChanged();
  }
}
