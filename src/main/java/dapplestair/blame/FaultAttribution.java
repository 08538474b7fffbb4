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
 * Tells a job that is wrong from a machine that is. A machine that fails what others complete is
 * emptied; a job that fails on several machines, of which no task completes, is tried again by one
 * task at a time, after growing pauses. Neither verdict ends a job: it is still accepted, and goes
 * on as before once one of its tasks works.
 */
public final class FaultAttribution implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(FaultAttribution.class);

  private static final int MAX_PAUSE_REPORTS = 20;

  /** Told of machines that are judged. */
  public interface Listener {
    /** It fails what others complete. */
    void onFaultyMachine(Host host);

    /** The job fails wherever it runs, and is tried again after this pause. */
    void onSuspectedJob(Job job, int failures, int machines, long pauseMs);

    /** A job that failed everywhere works after all. */
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

  /** No evidence yet. */
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

  /** Begins to look whether probes live on. */
  public void lead() {
    reviewProbes();
  }

  /** Forgets all evidence; which jobs are suspected is on record. */
  public void clear() {
    reviewTimer.cancel();
    evaluationTimer.cancel();
    records.clear();
    refsToEvaluate.clear();
  }

  /** How a job stands that has failed, or null. */
  public JobFailureStatus failureStatus(Job job) {
    JobFailures jobFailures = records.failuresOf(job.spec().ref());
    if (jobFailures == null && !job.suspected()) {
      return null;
    }
    double nextAttemptS =
        job.suspected() ? Math.max(0, job.heldBackUntil() - clock.now()) / 1000.0 : 0;
    return jobFailures == null
        ? new JobFailureStatus(0, 0, job.suspected(), nextAttemptS)
        : new JobFailureStatus(
            jobFailures.failureCount, jobFailures.machineCount, job.suspected(), nextAttemptS);
  }

  /**
   * What is held against a job.
   *
   * @param failures of its tasks, since this controller leads
   * @param machines on which they failed
   * @param suspected true when it is tried by one task at a time
   * @param nextAttemptS seconds until it is tried again
   */
  public record JobFailureStatus(
      int failures, int machines, boolean suspected, double nextAttemptS) {}

  /** Jobs that are tried by one task at a time. */
  public int countSuspectedJobs() {
    return (int) ledger.jobs().stream().filter(j -> j.suspected() && !j.over()).count();
  }

  // ---- evidence ----

  /** A task failed by itself. */
  public void recordFailure(Attempt attempt, Host host) {
    Job job = attempt.job();
    if (job.over()) {
      return;
    }
    JobFailures jobFailures = records.recordFailure(attempt, host);
    ledger.failedStep(attempt, reportMs, MAX_PAUSE_REPORTS * reportMs);
    if (job.suspected()) {
      // A probe, or what still ran when the verdict was given.
      pauseJob(job, jobFailures);
      return;
    }
    if (refsToEvaluate.isEmpty()) {
      evaluationTimer = timers.after(reportMs / 60, this::evaluateJobs);
    }
    boolean newlyDue = refsToEvaluate.add(job.spec().ref());
    long workingTasks =
        job.doneCount() + job.worked() + records.countWorking(job, jobFailures, null);
    if (newlyDue && workingTasks == 0) {
      // Failures come in crowds: what is lost starts again after the verdict, not before. Until one
      // of its tasks is known to work that is when no more fail.
      ledger.holdBack(job, reportMs / 2);
    }
  }

  /** A task completed. */
  public void recordCompletion(Attempt attempt, Host host) {
    Job job = attempt.job();
    records.recordCompletion(attempt, host);
    if (job.suspected()) {
      clearSuspicion(job);
      return;
    }
    JobFailures jobFailures = records.failuresOf(job.spec().ref());
    if (jobFailures != null) {
      ledger.goOn(job);
      // Now it is known to be good, so what failed it may be judged.
      evaluateMachines(jobFailures);
    }
  }

  /** A job is over: nothing is held against it any more. */
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
      if (jobFailures != null && job != null && !job.over() && !job.suspected()) {
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
    Host host = workers.known(hostId);
    if (host != null && !host.draining() && FailureLogOdds.isSure(records.machineLogOdds(hostId))) {
      LOG.info("{} fails what others complete: it is emptied", hostId);
      host.setDraining(true);
      // What a faulty machine explains is held against no job, and no step waits for it.
      records.discountFailuresOn(
          hostId, (job, steps) -> steps.forEach(step -> ledger.forgive(job, step)));
      listener.onFaultyMachine(host);
    }
  }

  private void suspect(Job job, JobFailures jobFailures) {
    LOG.info(
        "{} fails wherever it runs, {} times on {} machines: one task at a time from now on",
        job.spec().ref(),
        jobFailures.failureCount,
        jobFailures.failuresByHost.size());
    pauseJob(job, jobFailures);
    // Its failures are explained, and say nothing of the machines for as long as that holds.
    records.verdictChanged(jobFailures);
  }

  private void pauseJob(Job job, JobFailures jobFailures) {
    if (job.suspected() && job.held() > 1) {
      // Others of the same wave, or of the same gang, still run: one pause for all of them.
      return;
    }
    long pauseMs = reportMs * Math.min(MAX_PAUSE_REPORTS, 1L << Math.min(10, job.probesFailed()));
    ledger.suspect(job, pauseMs);
    listener.onSuspectedJob(job, jobFailures.failureCount, jobFailures.machineCount, pauseMs);
  }

  private void clearSuspicion(Job job) {
    LOG.info("{} works after all", job.spec().ref());
    ledger.trust(job);
    JobFailures jobFailures = records.failuresOf(job.spec().ref());
    if (jobFailures != null) {
      // What its being wrong explained is held against the machines again.
      records.verdictChanged(jobFailures);
      evaluateMachines(jobFailures);
    }
    listener.onJobCleared(job);
  }

  private void reviewProbes() {
    for (Job job : List.copyOf(ledger.jobs())) {
      if (job.suspected() && !job.over() && job.held() > 0) {
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
