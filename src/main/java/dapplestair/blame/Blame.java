package dapplestair.blame;

import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerDesk;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells a job that is wrong from a machine that is. A machine that fails what others complete is
 * emptied; a job that fails on several machines, of which no task completes, is tried again by one
 * task at a time, after growing pauses. Neither verdict ends a job: it is still accepted, and goes
 * on as before once one of its tasks works.
 */
public final class Blame implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Blame.class);

  private static final int MOST_PAUSE = 20;
  private static final int MOST_SAME_JOB = 4;

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
  private final Timers timers;
  private final Ledger ledger;
  private final WorkerDesk desk;
  private final Listener listener;
  private final long reportMs;
  private final Map<String, JobCase> jobs = new HashMap<>();
  private final Map<String, MachineCase> machines = new HashMap<>();
  private final Set<String> due = new LinkedHashSet<>();
  private Cancellable timer = () -> {};
  private Cancellable judging = () -> {};

  /** No evidence yet. */
  public Blame(
      Clock clock,
      Timers timers,
      long reportMs,
      Ledger ledger,
      WorkerDesk desk,
      Listener listener) {
    this.clock = clock;
    this.timers = timers;
    this.reportMs = reportMs;
    this.ledger = ledger;
    this.desk = desk;
    this.listener = listener;
  }

  /** Begins to look whether probes live on. */
  public void lead() {
    tick();
  }

  /** Forgets all evidence; which jobs are suspected is on record. */
  public void clear() {
    timer.cancel();
    judging.cancel();
    jobs.clear();
    machines.clear();
    due.clear();
  }

  /** How a job stands that has failed, or null. */
  public BudgetStatus standing(Job job) {
    JobCase jobCase = jobs.get(job.spec().ref());
    if (jobCase == null && !job.suspected()) {
      return null;
    }
    double next = job.suspected() ? Math.max(0, job.heldBackUntil() - clock.now()) / 1000.0 : 0;
    return jobCase == null
        ? new BudgetStatus(0, 0, job.suspected(), next)
        : new BudgetStatus(jobCase.failures, jobCase.machines, job.suspected(), next);
  }

  /**
   * What is held against a job.
   *
   * @param failures of its tasks, since this controller leads
   * @param machines on which they failed
   * @param suspected true when it is tried by one task at a time
   * @param nextS seconds until it is tried again
   */
  public record BudgetStatus(int failures, int machines, boolean suspected, double nextS) {}

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
    String ref = job.spec().ref();
    JobCase jobCase = jobs.computeIfAbsent(ref, r -> new JobCase());
    jobCase.failed(host.id(), attempt.ranBeforeExitS());
    ledger.failedStep(attempt, reportMs, MOST_PAUSE * reportMs);
    if (job.suspected()) {
      // A probe, or what still ran when the verdict was given: nothing new of its machine.
      pause(job, jobCase);
      return;
    }
    MachineCase machineCase =
        machines.computeIfAbsent(host.id(), h -> new MachineCase(clock.now()));
    machineCase.failed(ref, attempt.step());
    host.setFailures(machineCase.count());
    if (due.isEmpty()) {
      judging = timers.after(reportMs / 60, this::judge);
    }
    if (due.add(ref) && job.doneCount() + job.worked() + working(job, jobCase, null) == 0) {
      // Failures come in crowds: what is lost starts again after the verdict, not before. Until one
      // of its tasks is known to work that is when no more fail.
      ledger.holdBack(job, reportMs / 2);
    }
  }

  /** A task completed. */
  public void completed(Attempt attempt, Host host) {
    Job job = attempt.job();
    MachineCase machineCase = machines.get(host.id());
    if (machineCase != null && attempt.plannedAt() > machineCase.since) {
      machines.remove(host.id());
      host.setFailures(0);
    }
    if (job.suspected()) {
      works(job);
    } else if (jobs.containsKey(job.spec().ref())) {
      ledger.goOn(job);
      // Now it is known to be good, so what failed it may be judged.
      judgeMachines(jobs.get(job.spec().ref()));
    }
  }

  /** A job is over: nothing is held against it, nor by it against machines. */
  public void over(String ref) {
    due.remove(ref);
    JobCase jobCase = jobs.remove(ref);
    if (jobCase != null) {
      cancel(ref, jobCase);
    }
  }

  private void cancel(String ref, JobCase jobCase) {
    for (String id : jobCase.failedOn.keySet()) {
      MachineCase machineCase = machines.get(id);
      if (machineCase == null) {
        continue;
      }
      machineCase.failed.remove(ref);
      if (machineCase.failed.isEmpty()) {
        machines.remove(id);
      }
      Host host = desk.known(id);
      if (host != null) {
        host.setFailures(machineCase.count());
      }
    }
    jobCase.failedOn.clear();
  }

  // ---- verdicts ----

  private void judge() {
    List<String> refs = List.copyOf(due);
    due.clear();
    for (String ref : refs) {
      JobCase jobCase = jobs.get(ref);
      Job job = ledger.job(ref);
      if (jobCase != null && job != null && !job.over() && !job.suspected()) {
        if (jobCase.failedOn.size() >= 2 && Odds.sure(odds(job, jobCase))) {
          suspect(job, jobCase);
        } else {
          judgeMachines(jobCase);
        }
      }
    }
  }

  /** Log odds that the job is wrong. */
  private double odds(Job job, JobCase jobCase) {
    long now = clock.now();
    long works = working(job, jobCase, null);
    long outlived =
        ledger.attempts(job).stream().filter(a -> a.ranS(now) > jobCase.longestS).count() - works;
    double sum =
        Odds.logit(Odds.JOB_WRONG) + Odds.completions(job.doneCount() + job.worked() + works);
    for (String id : jobCase.failedOn.keySet()) {
      sum += Odds.failureUnless(odds(id, job.spec().ref(), false));
    }
    return sum + Odds.outlived(outlived / (double) jobCase.failures);
  }

  /** Tasks that live on, on other machines than this one. */
  private long working(Job job, JobCase jobCase, String butOn) {
    long now = clock.now();
    return ledger.attempts(job).stream()
        .filter(a -> a.ranS(now) > worksAfterS(jobCase) && !a.host().equals(butOn))
        .count();
  }

  /** Services never complete: a task that outlives by far what failed says as much. */
  private double worksAfterS(JobCase jobCase) {
    return Math.max(reportMs / 1000.0, jobCase == null ? 0 : 2 * jobCase.longestS);
  }

  /**
   * Log odds that a machine is faulty, by other jobs than {@code except}; with {@code knownGood}
   * only by steps that have completed elsewhere, which is what it takes to empty a machine: a job
   * of which some tasks alone are wrong would have it emptied otherwise.
   */
  private double odds(String id, String except, boolean knownGood) {
    double sum = Odds.logit(Odds.MACHINE_FAULTY);
    MachineCase machineCase = machines.get(id);
    if (machineCase == null) {
      return sum;
    }
    for (var e : machineCase.failed.entrySet()) {
      Job job = ledger.job(e.getKey());
      JobCase jobCase = jobs.get(e.getKey());
      if (e.getKey().equals(except) || job == null || jobCase == null) {
        continue;
      }
      // Replicas are alike, and never complete: others that live on elsewhere say as much.
      long good = job.spec().service() ? working(job, jobCase, id) + job.worked() : job.doneCount();
      int steps = e.getValue().size();
      if (knownGood && job.spec().service()) {
        // The same replica that fails here again and again says as much as another one.
        steps = good > 0 ? jobCase.failedOn.getInt(id) : 0;
      } else if (knownGood) {
        steps = (int) e.getValue().intStream().filter(job::done).count();
      }
      if (steps > 0) {
        double one = Odds.failure(Odds.rate(jobCase.elsewhere(id), good));
        // More tasks of one job say less than those of another job.
        sum += one * (1 + (Math.min(MOST_SAME_JOB, steps) - 1) / 2.0);
      }
    }
    return sum;
  }

  private void judgeMachines(JobCase jobCase) {
    List.copyOf(jobCase.failedOn.keySet()).forEach(this::judgeMachine);
  }

  private void judgeMachine(String id) {
    Host host = desk.known(id);
    if (host != null && !host.draining() && Odds.sure(odds(id, null, true))) {
      LOG.info("{} fails what others complete: it is emptied", id);
      host.setDraining(true);
      machines.get(id).failed.forEach((ref, steps) -> forgive(id, ref, steps));
      listener.faulty(host);
    }
  }

  /** What a faulty machine explains is held against no job, and no step waits for it. */
  private void forgive(String id, String ref, IntOpenHashSet steps) {
    Job job = ledger.job(ref);
    JobCase jobCase = jobs.get(ref);
    if (job != null && jobCase != null) {
      jobCase.failedOn.removeInt(id);
      steps.forEach(step -> ledger.forgive(job, step));
    }
  }

  private void suspect(Job job, JobCase jobCase) {
    LOG.info(
        "{} fails wherever it runs, {} times on {} machines: one task at a time from now on",
        job.spec().ref(),
        jobCase.failures,
        jobCase.failedOn.size());
    // Its failures are explained, and say nothing of the machines any more.
    cancel(job.spec().ref(), jobCase);
    pause(job, jobCase);
  }

  private void pause(Job job, JobCase jobCase) {
    if (job.suspected() && job.held() > 1) {
      // Others of the same wave, or of the same gang, still run: one pause for all of them.
      return;
    }
    long pause = reportMs * Math.min(MOST_PAUSE, 1L << Math.min(10, job.probesFailed()));
    ledger.suspect(job, pause);
    listener.wrong(job, jobCase.failures, jobCase.machines, pause);
  }

  private void works(Job job) {
    LOG.info("{} works after all", job.spec().ref());
    ledger.trust(job);
    jobs.remove(job.spec().ref());
    listener.works(job);
  }

  private void tick() {
    for (Job job : List.copyOf(ledger.jobs())) {
      if (job.suspected() && !job.over() && job.held() > 0) {
        if (working(job, jobs.get(job.spec().ref()), null) > 0) {
          works(job);
        }
      }
    }
    timer = timers.after(reportMs, this::tick);
  }

  @Override
  public void close() {
    timer.cancel();
    judging.cancel();
  }
}
