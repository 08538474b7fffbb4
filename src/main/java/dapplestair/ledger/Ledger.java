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
 * The jobs that are not over and the attempts whose absence is not proved. Followers keep the raw
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

  /** Creates an empty ledger; {@code withLaunchBatches} lets many jobs' launches share one put. */
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

  // ---- changes of the replica ----

  /** Applies a value of a job's key. */
  public void onJobPut(String ref, JsonNode value, long stamp) {
    Job existingJob = jobs.get(ref);
    if (existingJob != null) {
      existingJob.stamp = stamp;
      return;
    }
    Job job = JobRecordCodec.read(value, stamp, chunkSize);
    if (job != null) {
      jobs.put(ref, job);
      // Followers count arrivals too, so that a new leader can forecast them. Jobs accepted longer
      // ago come from the listing at a start, and are not counted.
      if (context.clock.wall() - job.acceptedWallMs() < context.settings.workers().reportMs()) {
        context.callbacks.onJobAccepted(job);
      }
      if (context.isReady()) {
        context.callbacks.onChanged();
      }
    }
  }

  /** Returns the record of a job accepted now, which its user first submitted at a time of day. */
  public ObjectNode acceptedJobRecord(Submission submission, long firstRequestWallMs) {
    return JobRecordCodec.acceptedRecord(
        submission, context.clock.wall(), firstRequestWallMs, chunkSize);
  }

  /** Returns the record of a job that ends now with this status. */
  public ObjectNode endedJobRecord(Job job, String status) {
    return JobRecordCodec.endedRecord(job, status, context.clock.wall());
  }

  /** Applies the removal of a job's key: the job was cancelled or is done. */
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
   * Applies a cancellation that another controller has confirmed to the user: the leader stops the
   * job's tasks before its own replica shows the removal.
   */
  public void onJobCancelled(String ref) {
    if (context.isTermActive()) {
      onJobRemoved(ref);
    }
  }

  /**
   * Returns where a job's tasks may be: on the leader, its launched attempts that have not exited
   * and are not proved absent; on a follower, all attempts on record.
   */
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

  /** Returns true if this job is not over, as far as this controller has read. */
  public boolean isJobActive(String ref) {
    Job job = jobs.get(ref);
    return job != null && !job.isOver();
  }

  /**
   * Returns true if the job is over and none of its attempts is left on any machine, which only a
   * leader that may launch can tell. The job's records may remain for longer.
   */
  public boolean hasNoAttemptsLeft(String ref) {
    Job job = jobs.get(ref);
    return canLaunch() && (job == null || job.isOver() && job.heldAttempts() == 0);
  }

  /** Applies a value of a chunk's record. */
  public void onRunPut(String ref, int chunk, JsonNode value, long stamp) {
    // The leader's own memory is ahead of the records.
    if (!context.isTermActive()) {
      rawRecords.put(ref, chunk, value, stamp);
    }
  }

  /** Applies the removal of a chunk's record. */
  public void onRunRemoved(String ref, int chunk) {
    if (!context.isTermActive()) {
      rawRecords.remove(ref, chunk);
    }
  }

  /** Applies a value of a launch batch's record. */
  public void onLaunchBatchPut(String key, JsonNode value, long stamp) {
    if (!context.isTermActive()) {
      rawRecords.putLaunchBatch(key, value, stamp);
    } else {
      writer.launchBatches().onBatchShown(key, stamp);
    }
  }

  /** Applies the removal of a launch batch's record. */
  public void onLaunchBatchRemoved(String key) {
    if (!context.isTermActive()) {
      rawRecords.removeLaunchBatch(key);
    }
  }

  // ---- begin and end of a term ----

  /** Builds attempts from the records; launches are allowed once each is accounted for. */
  public void beginTerm(long newTerm) {
    takeover.beginTerm(newTerm);
  }

  /** Forgets everything; the replica lists its records again afterwards. */
  public void clear() {
    jobs.clear();
    rawRecords.clear();
    takeover.clear();
    teamUsage.clear();
    jobStatistics.clear();
    writer.clear();
    context.endTerm();
  }

  /** Returns true if launches may be planned. */
  public boolean canLaunch() {
    return launchGate.isOpen();
  }

  // ---- views ----

  /** Returns a job that is not over or not cleaned up, or null. */
  public Job job(String ref) {
    return jobs.get(ref);
  }

  /** Returns all jobs that are not over or not cleaned up, oldest known first. */
  public Collection<Job> jobs() {
    return jobs.values();
  }

  /** Returns the numbers of completed tasks and of tasks with an attempt, for display. */
  public int[] taskCounts(Job job) {
    return context.isTermActive()
        ? new int[] {job.doneCount(), job.liveCount()}
        : rawRecords.taskCounts(job.spec().ref());
  }

  /** Returns a job's attempts whose absence is not proved; only the leader has them. */
  public List<Attempt> attempts(Job job) {
    List<Attempt> result = new ArrayList<>();
    job.chunks.values().forEach(c -> result.addAll(c.attemptsByStep.values()));
    return result;
  }

  /** Counts a job's unavailable tasks; {@code isReachable} tells which attempts can be heard. */
  public UnavailableTasks unavailableTasks(Job job, Predicate<Attempt> isReachable) {
    return UnavailableTasks.of(job, isReachable);
  }

  /** Returns up to {@code maxCount} of a job's attempts from {@code fromStep} on, by step. */
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

  /** Counts launch batches on record; must be 0 before a version without them may lead again. */
  public int launchBatchCount() {
    return context.isTermActive()
        ? writer.launchBatches().count()
        : rawRecords.stampByLaunchBatch().size();
  }

  /** Returns the number of attempts whose absence is not proved. */
  public int attemptCount() {
    return jobs.values().stream().mapToInt(Job::heldAttempts).sum();
  }

  /** Returns how many starts machines have refused since this process began, by cause. */
  public Map<String, Long> refusedStarts() {
    return reconciler.refusedStarts();
  }

  /** Returns what became of the jobs of each team and class since this controller leads. */
  public JobStatistics jobStatistics() {
    return jobStatistics;
  }

  /** Returns the CPUs that a team's attempts use. */
  public double teamCpus(String team) {
    return teamUsage.cpus(team);
  }

  /** Returns the accelerators that a team's attempts use. */
  public double teamGpus(String team) {
    return teamUsage.gpus(team);
  }

  // ---- launch rules ----

  /** Returns true if the team's limits allow one more task of this size. */
  public boolean teamAllows(Submission submission) {
    return teamUsage.allows(submission, 1);
  }

  /** Returns true if the team's limits allow {@code tasks} more tasks of this size. */
  public boolean teamAllows(Submission submission, int tasks) {
    return teamUsage.allows(submission, tasks);
  }

  /** Returns how many more tasks of this size the team's limit, or its guarantee, allows. */
  public int maxAdditionalTeamTasks(Submission submission, boolean withinGuarantee) {
    return teamUsage.maxAdditionalTasks(submission, withinGuarantee);
  }

  /** Returns true if the job's zone rules allow one more attempt in this zone. */
  public boolean zoneAllows(Job job, String zone) {
    return LaunchGate.zoneAllows(job, zone);
  }

  /** Returns true if the job's rules let one more of its tasks start on this machine now. */
  public boolean mayStart(Job job, Machine host) {
    return launchGate.mayStart(job, host);
  }

  /**
   * Plans an attempt, the only way to begin a launch. Refused unless every rule holds in the latest
   * view, whichever component proposes it.
   */
  public boolean launch(Job job, int step, Machine host) {
    return launchGate.launch(job, step, host);
  }

  /** Asks for a stop, which the worker manager repeats until the attempt's absence is proved. */
  public void halt(Attempt attempt, double windDownS, StopReason reason) {
    attempts.halt(attempt, windDownS, reason);
  }

  // ---- reports of workers ----

  /** Applies a machine's newest report. Returns its tasks that belong to no known attempt. */
  public List<Report.Task> applyReport(Machine host, Report report) {
    return reconciler.applyReport(host, report);
  }

  /** Marks all attempts on a machine absent, after it was proved gone. */
  public void markAllAbsent(Machine host) {
    attempts.markAllAbsent(host);
  }

  /** Returns true if a task of this job has failed on this machine. */
  public boolean hasFailedOn(Job job, Machine host) {
    return job.lastFailureMsByMachine.containsKey(host.id());
  }

  /** Returns true if a task of this job failed on this machine within {@code withinMs}. */
  public boolean hasFailedOn(Job job, Machine host, long withinMs) {
    return hasFailedOn(job, host)
        && context.clock.now() - job.lastFailureMsByMachine.getLong(host.id()) <= withinMs;
  }

  /** Records a step's failure; a step that fails again is delayed, longer each time. */
  public void recordStepFailure(Attempt attempt, long firstDelayMs, long maxDelayMs) {
    reconciler.recordStepFailure(attempt, firstDelayMs, maxDelayMs);
  }

  /** Clears a step's failures, since its machine was faulty, so that it is not delayed. */
  public void clearStepFailures(Job job, int step) {
    reconciler.clearStepFailures(job, step);
  }

  /** Keeps a job from starting tasks for {@code delayMs}. */
  public void delayStarts(Job job, long delayMs) {
    reconciler.delayStarts(job, delayMs);
  }

  /**
   * Marks a job that fails wherever it runs: it runs one task at a time, the next after this pause.
   * Recorded with the next write of its attempts, so that a new leader learns of it without an
   * extra put.
   */
  public void markSuspected(Job job, long pauseMs) {
    job.suspected = true;
    job.probesFailed++;
    reconciler.delayStarts(job, pauseMs);
  }

  /** Sets whether planning leaves a job out for now. */
  public void setExcludedFromPlanning(Job job, boolean excluded) {
    job.excludedFromPlanning = excluded;
  }

  /** Ends a job's delay, so that it may start tasks again. */
  public void resumeStarts(Job job) {
    job.startsDelayedUntilMs = 0;
  }

  /** Removes a job's mark as suspected, since one of its tasks did work. */
  public void clearSuspicion(Job job) {
    job.suspected = false;
    job.probesFailed = 0;
    job.startsDelayedUntilMs = 0;
    context.callbacks.onChanged();
  }
}
