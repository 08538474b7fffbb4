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

  private static final int MOST_PAUSE = 20;

  /** Told of machines that are judged. */
  public interface Listener {
    /** It fails what others complete. */
    void faulty(Host host);

    /** The job fails wherever it runs, and is tried again after this pause. */
    void wrong(Job job, int failures, int machines, long pauseMs);

    /** A job that failed everywhere works after all. */
    void works(Job job);
  }

  private final Clock clock;
  private final TermTimers timers;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final Listener listener;
  private final long reportMs;
  private final FailureRecords records;
  private final Set<String> due = new LinkedHashSet<>();
  private Cancellable timer = () -> {};
  private Cancellable judging = () -> {};

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
    tick();
  }

  /** Forgets all evidence; which jobs are suspected is on record. */
  public void clear() {
    timer.cancel();
    judging.cancel();
    records.clear();
    due.clear();
  }

  /** How a job stands that has failed, or null. */
  public JobFailureStatus standing(Job job) {
    JobFailures jobFailures = records.of(job.spec().ref());
    if (jobFailures == null && !job.suspected()) {
      return null;
    }
    double next = job.suspected() ? Math.max(0, job.heldBackUntil() - clock.now()) / 1000.0 : 0;
    return jobFailures == null
        ? new JobFailureStatus(0, 0, job.suspected(), next)
        : new JobFailureStatus(jobFailures.failures, jobFailures.machines, job.suspected(), next);
  }

  /**
   * What is held against a job.
   *
   * @param failures of its tasks, since this controller leads
   * @param machines on which they failed
   * @param suspected true when it is tried by one task at a time
   * @param nextS seconds until it is tried again
   */
  public record JobFailureStatus(int failures, int machines, boolean suspected, double nextS) {}

  /** Jobs that are tried by one task at a time. */
  public int suspects() {
    return (int) ledger.jobs().stream().filter(j -> j.suspected() && !j.over()).count();
  }

  // ---- evidence ----

  /** A task failed by itself. */
  public void failed(Attempt attempt, Host host) {
    Job job = attempt.job();
    if (job.over()) {
      return;
    }
    JobFailures jobFailures = records.failed(attempt, host);
    ledger.failedStep(attempt, reportMs, MOST_PAUSE * reportMs);
    if (job.suspected()) {
      // A probe, or what still ran when the verdict was given.
      pause(job, jobFailures);
      return;
    }
    if (due.isEmpty()) {
      judging = timers.after(reportMs / 60, this::judge);
    }
    boolean first = due.add(job.spec().ref());
    long works = job.doneCount() + job.worked() + records.working(job, jobFailures, null);
    if (first && works == 0) {
      // Failures come in crowds: what is lost starts again after the verdict, not before. Until one
      // of its tasks is known to work that is when no more fail.
      ledger.holdBack(job, reportMs / 2);
    }
  }

  /** A task completed. */
  public void completed(Attempt attempt, Host host) {
    Job job = attempt.job();
    records.completed(attempt, host);
    if (job.suspected()) {
      works(job);
      return;
    }
    JobFailures jobFailures = records.of(job.spec().ref());
    if (jobFailures != null) {
      ledger.goOn(job);
      // Now it is known to be good, so what failed it may be judged.
      judgeMachines(jobFailures);
    }
  }

  /** A job is over: nothing is held against it any more. */
  public void over(String ref) {
    due.remove(ref);
    records.over(ref);
  }

  // ---- verdicts ----

  private void judge() {
    List<String> refs = List.copyOf(due);
    due.clear();
    for (String ref : refs) {
      JobFailures jobFailures = records.of(ref);
      Job job = ledger.job(ref);
      if (jobFailures != null && job != null && !job.over() && !job.suspected()) {
        if (jobFailures.failedOn.size() >= 2
            && FailureLogOdds.sure(records.jobOdds(job, jobFailures))) {
          suspect(job, jobFailures);
        } else {
          judgeMachines(jobFailures);
        }
      }
    }
  }

  private void judgeMachines(JobFailures jobFailures) {
    List.copyOf(jobFailures.failedOn.keySet()).forEach(this::judgeMachine);
  }

  private void judgeMachine(String id) {
    Host host = workers.findHost(id);
    if (host != null && !host.isDraining() && FailureLogOdds.sure(records.machineOdds(id))) {
      LOG.info("{} fails what others complete: it is emptied", id);
      host.setDraining(true);
      // What a faulty machine explains is held against no job, and no step waits for it.
      records.explainedBy(id, (job, steps) -> steps.forEach(step -> ledger.forgive(job, step)));
      listener.faulty(host);
    }
  }

  private void suspect(Job job, JobFailures jobFailures) {
    LOG.info(
        "{} fails wherever it runs, {} times on {} machines: one task at a time from now on",
        job.spec().ref(),
        jobFailures.failures,
        jobFailures.failedOn.size());
    pause(job, jobFailures);
    // Its failures are explained, and say nothing of the machines for as long as that holds.
    records.verdictChanged(jobFailures);
  }

  private void pause(Job job, JobFailures jobFailures) {
    if (job.suspected() && job.held() > 1) {
      // Others of the same wave, or of the same gang, still run: one pause for all of them.
      return;
    }
    long pause = reportMs * Math.min(MOST_PAUSE, 1L << Math.min(10, job.probesFailed()));
    ledger.suspect(job, pause);
    listener.wrong(job, jobFailures.failures, jobFailures.machines, pause);
  }

  private void works(Job job) {
    LOG.info("{} works after all", job.spec().ref());
    ledger.trust(job);
    JobFailures jobFailures = records.of(job.spec().ref());
    if (jobFailures != null) {
      // What its being wrong explained is held against the machines again.
      records.verdictChanged(jobFailures);
      judgeMachines(jobFailures);
    }
    listener.works(job);
  }

  private void tick() {
    for (Job job : List.copyOf(ledger.jobs())) {
      if (job.suspected() && !job.over() && job.held() > 0) {
        if (records.working(job, records.of(job.spec().ref()), null) > 0) {
          works(job);
        }
      }
    }
    records.forgetGone();
    timer = timers.after(reportMs, this::tick);
  }

  @Override
  public void close() {
    timer.cancel();
    judging.cancel();
  }
}
