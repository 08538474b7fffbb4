package dapplestair.blame;

import dapplestair.leadership.TermTimers;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Distinguishes faulty jobs from faulty machines. A machine that fails tasks which other machines
 * complete is drained. A job that fails on several machines, and of which no task completes, is
 * retried one task at a time, after growing pauses. Neither verdict ends a job: it stays accepted,
 * and runs as before once one of its tasks works.
 */
public final class FaultAttribution implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(FaultAttribution.class);

  private static final int MAX_PAUSE_REPORTS = 20;

  /** Listens to verdicts on machines and jobs. */
  public interface Listener {
    /** Called when a machine fails tasks that other machines complete. */
    void onFaultyMachine(Host host);

    /** Called when a job fails wherever it runs; it is retried after this pause. */
    void onSuspectedJob(Job job, int failures, int machines, long pauseMs);

    /** Called when a job that failed wherever it ran works after all. */
    void onJobCleared(Job job);
  }

  private final Clock clock;
  private final TermTimers timers;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final Listener listener;
  private final long reportMs;
  private final FailureRecords records;
  private final Set<String> refsToEvaluate = new LinkedHashSet<>();
  private Cancellable reviewTimer = () -> {};
  private Cancellable evaluationTimer = () -> {};

  /** Creates an instance without any evidence. */
  public FaultAttribution(
      Clock clock,
      TermTimers timers,
      long reportMs,
      Ledger ledger,
      WorkerManager workers,
      Listener listener) {
    this.clock = clock;
    this.timers = timers;
    this.reportMs = reportMs;
    this.ledger = ledger;
    this.workers = workers;
    this.listener = listener;
    this.records = new FailureRecords(clock, reportMs, ledger, workers);
  }

  /** Begins to check periodically whether the probes of suspected jobs keep running. */
  public void lead() {
    reviewProbes();
  }

  /** Forgets all evidence; which jobs are suspected remains on record. */
  public void clear() {
    reviewTimer.cancel();
    evaluationTimer.cancel();
    records.clear();
    refsToEvaluate.clear();
  }

  /**
   * Returns the failures held against a job, or null when there are none and it is not suspected.
   */
  public JobFailureStatus failureStatus(Job job) {
    JobFailures jobFailures = records.failuresOf(job.spec().ref());
    if (jobFailures == null && !job.isSuspected()) {
      return null;
    }
    double nextAttemptS =
        job.isSuspected() ? Math.max(0, job.startsDelayedUntilMs() - clock.now()) / 1000.0 : 0;
    return jobFailures == null
        ? new JobFailureStatus(0, 0, job.isSuspected(), nextAttemptS)
        : new JobFailureStatus(
            jobFailures.failureCount, jobFailures.machineCount, job.isSuspected(), nextAttemptS);
  }

  /**
   * Failures that are held against a job.
   *
   * @param failures number of its task failures since this controller began to lead
   * @param machines number of machines on which they failed
   * @param suspected whether the job runs one task at a time
   * @param nextAttemptS seconds until it is tried again
   */
  public record JobFailureStatus(
      int failures, int machines, boolean suspected, double nextAttemptS) {}

  /** Returns the number of unfinished jobs that are limited to one task at a time. */
  public int countSuspectedJobs() {
    return (int) ledger.jobs().stream().filter(j -> j.isSuspected() && !j.isOver()).count();
  }

  // ---- evidence ----

  /** Records that a task failed by itself, not because it was stopped or lost its machine. */
  public void recordFailure(Attempt attempt, Host host) {
    Job job = attempt.job();
    if (job.isOver()) {
      return;
    }
    JobFailures jobFailures = records.recordFailure(attempt, host);
    ledger.recordStepFailure(attempt, reportMs, MAX_PAUSE_REPORTS * reportMs);
    if (job.isSuspected()) {
      // The task was a probe, or still ran when the job became suspected.
      pauseJob(job, jobFailures);
      return;
    }
    if (refsToEvaluate.isEmpty()) {
      evaluationTimer = timers.after(reportMs / 60, this::evaluateJobs);
    }
    boolean newlyDue = refsToEvaluate.add(job.spec().ref());
    long workingTasks =
        job.doneCount() + job.interruptedReplicas() + records.countWorking(job, jobFailures, null);
    if (newlyDue && workingTasks == 0) {
      // Tasks tend to fail in groups, so lost tasks restart only after the verdict. Until one of
      // the job's tasks is known to work, later failures extend the delay, so that the job starts
      // no tasks until no more of them fail.
      ledger.delayStarts(job, reportMs / 2);
    }
  }

  /** Records that a task completed. */
  public void recordCompletion(Attempt attempt, Host host) {
    Job job = attempt.job();
    records.recordCompletion(attempt, host);
    if (job.isSuspected()) {
      clearSuspicion(job);
      return;
    }
    JobFailures jobFailures = records.failuresOf(job.spec().ref());
    if (jobFailures != null) {
      ledger.resumeStarts(job);
      // The job is now known to be good, so a machine that failed its tasks may be evaluated.
      evaluateMachines(jobFailures);
    }
  }

  /** Closes the records of a job that is over: nothing is held against it any more. */
  public void closeJob(String ref) {
    refsToEvaluate.remove(ref);
    records.closeJob(ref);
  }

  // ---- verdicts ----

  private void evaluateJobs() {
    List<String> refs = List.copyOf(refsToEvaluate);
    refsToEvaluate.clear();
    for (String ref : refs) {
      JobFailures jobFailures = records.failuresOf(ref);
      Job job = ledger.job(ref);
      if (jobFailures != null && job != null && !job.isOver() && !job.isSuspected()) {
        if (jobFailures.failuresByHost.size() >= 2
            && FailureLogOdds.isSure(records.jobLogOdds(job, jobFailures))) {
          suspect(job, jobFailures);
        } else {
          evaluateMachines(jobFailures);
        }
      }
    }
  }

  private void evaluateMachines(JobFailures jobFailures) {
    List.copyOf(jobFailures.failuresByHost.keySet()).forEach(this::evaluateMachine);
  }

  private void evaluateMachine(String hostId) {
    Host host = workers.findHost(hostId);
    if (host != null
        && !host.isDraining()
        && FailureLogOdds.isSure(records.machineLogOdds(hostId))) {
      LOG.info("machine {} fails tasks that other machines complete; draining it", hostId);
      host.setDraining(true);
      // Failures that a faulty machine explains are not held against any job, and their steps are
      // not delayed.
      records.discountFailuresOn(
          hostId, (job, steps) -> steps.forEach(step -> ledger.clearStepFailures(job, step)));
      listener.onFaultyMachine(host);
    }
  }

  private void suspect(Job job, JobFailures jobFailures) {
    LOG.info(
        "job {} fails wherever it runs ({} failures on {} machines); limiting it to one task at a time",
        job.spec().ref(),
        jobFailures.failureCount,
        jobFailures.failuresByHost.size());
    pauseJob(job, jobFailures);
    // The job's failures are explained now and do not count against machines while it is suspected.
    records.verdictChanged(jobFailures);
  }

  private void pauseJob(Job job, JobFailures jobFailures) {
    if (job.isSuspected() && job.heldAttempts() > 1) {
      // Other tasks of the same wave or gang still run: all of them share one pause.
      return;
    }
    long pauseMs = reportMs * Math.min(MAX_PAUSE_REPORTS, 1L << Math.min(10, job.probesFailed()));
    ledger.markSuspected(job, pauseMs);
    listener.onSuspectedJob(job, jobFailures.failureCount, jobFailures.machineCount, pauseMs);
  }

  private void clearSuspicion(Job job) {
    LOG.info(
        "job {} works after all; no longer limiting it to one task at a time", job.spec().ref());
    ledger.clearSuspicion(job);
    JobFailures jobFailures = records.failuresOf(job.spec().ref());
    if (jobFailures != null) {
      // Failures that the suspicion of this job explained count against the machines again.
      records.verdictChanged(jobFailures);
      evaluateMachines(jobFailures);
    }
    listener.onJobCleared(job);
  }

  private void reviewProbes() {
    for (Job job : List.copyOf(ledger.jobs())) {
      if (job.isSuspected() && !job.isOver() && job.heldAttempts() > 0) {
        if (records.countWorking(job, records.failuresOf(job.spec().ref()), null) > 0) {
          clearSuspicion(job);
        }
      }
    }
    records.forgetGoneMachines();
    reviewTimer = timers.after(reportMs, this::reviewProbes);
  }

  @Override
  public void close() {
    reviewTimer.cancel();
    evaluationTimer.cancel();
  }
}
