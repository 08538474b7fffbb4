package dapplestair.blame;

import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Clock;
import dapplestair.workers.Host;
import dapplestair.workers.Probation;
import dapplestair.workers.WorkerManager;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/** Which tasks of which jobs failed on which machines, and what that says of either side. */
final class FailureRecords {
  private static final int MOST_SAME_JOB = 4;

  // A machine on which so many jobs failed, and none completed since, is tried by one task at a
  // time, whoever is to blame. A healthy one hardly ever gets two wrong jobs in a row.
  private static final int PROBATION_JOBS = 2;
  private static final int PROBATION_REPORTS = 10;

  private final Clock clock;
  private final long reportMs;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final Map<String, JobFailures> jobs = new HashMap<>();
  private final Map<String, MachineFailures> machines = new HashMap<>();

  FailureRecords(Clock clock, long reportMs, Ledger ledger, WorkerManager workers) {
    this.clock = clock;
    this.reportMs = reportMs;
    this.ledger = ledger;
    this.workers = workers;
  }

  void clear() {
    jobs.clear();
    machines.clear();
  }

  /** What is held against a job, or null. */
  JobFailures of(String ref) {
    return jobs.get(ref);
  }

  /** Forgets machines that are gone. */
  void forgetGone() {
    machines.keySet().removeIf(id -> workers.findHost(id) == null);
  }

  /** A task failed by itself. */
  JobFailures failed(Attempt attempt, Host host) {
    String ref = attempt.job().spec().ref();
    JobFailures jobFailures = jobs.computeIfAbsent(ref, r -> new JobFailures());
    jobFailures.failed(host.id(), attempt.ranBeforeExitS());
    MachineFailures machineFailures =
        machines.computeIfAbsent(host.id(), h -> new MachineFailures(clock.now()));
    machineFailures.failed(ref, attempt.step());
    countFailures(host.id());
    if (machineFailures.jobs() >= PROBATION_JOBS) {
      long until = clock.now() + PROBATION_REPORTS * reportMs;
      host.setProbation(new Probation(machineFailures.since, until));
    }
    return jobFailures;
  }

  /** A task completed: a machine on which it began after the first failure is cleared. */
  void completed(Attempt attempt, Host host) {
    MachineFailures machineFailures = machines.get(host.id());
    if (machineFailures != null && attempt.plannedAt() > machineFailures.since) {
      machines.remove(host.id());
      countFailures(host.id());
      host.setProbation(Probation.NONE);
    }
  }

  /**
   * A job is over: nothing is held against it. Those of its steps that failed on a machine and have
   * completed elsewhere still say of that machine what they said before.
   */
  void over(String ref) {
    JobFailures jobFailures = jobs.get(ref);
    if (jobFailures == null) {
      return;
    }
    Job job = ledger.job(ref);
    boolean witness = job != null && !job.suspected();
    for (String id : jobFailures.failedOn.keySet()) {
      MachineFailures machineFailures = machines.get(id);
      IntOpenHashSet steps = machineFailures == null ? null : machineFailures.failed.remove(ref);
      if (steps == null) {
        continue;
      }
      int completed = witness ? completedElsewhere(job, steps) : 0;
      if (completed > 0) {
        machineFailures.settle(says(id, jobFailures, job.doneCount(), completed), completed);
      }
      if (machineFailures.empty()) {
        machines.remove(id);
      }
      countFailures(id);
    }
    jobs.remove(ref);
  }

  private static int completedElsewhere(Job job, IntOpenHashSet steps) {
    return (int) steps.intStream().filter(job::done).count();
  }

  /** The verdict on a job has changed: its failures are explained, or no longer. */
  void verdictChanged(JobFailures jobFailures) {
    jobFailures.failedOn.keySet().forEach(this::countFailures);
  }

  private void countFailures(String id) {
    Host host = workers.findHost(id);
    MachineFailures machineFailures = machines.get(id);
    if (host != null) {
      host.setFailures(machineFailures == null ? 0 : machineFailures.unexplained(this::explains));
    }
  }

  /** True when this job is wrong by the verdict of now, which explains its failures anywhere. */
  private boolean explains(String ref) {
    Job job = ledger.job(ref);
    return job != null && job.suspected();
  }

  /** Tells of each job of which something failed on a machine that turned out to be faulty. */
  void explainedBy(String id, BiConsumer<Job, IntOpenHashSet> each) {
    machines
        .get(id)
        .failed
        .forEach(
            (ref, steps) -> {
              Job job = ledger.job(ref);
              JobFailures jobFailures = jobs.get(ref);
              if (job != null && jobFailures != null && !job.suspected()) {
                jobFailures.failedOn.removeInt(id);
                each.accept(job, steps);
              }
            });
  }

  // ---- what it says ----

  /** Log odds that a job is wrong. */
  double jobOdds(Job job, JobFailures jobFailures) {
    long now = clock.now();
    long works = working(job, jobFailures, null);
    long outlived =
        ledger.attempts(job).stream().filter(a -> a.ranS(now) > jobFailures.longestS).count()
            - works;
    double sum =
        FailureLogOdds.logit(FailureLogOdds.JOB_WRONG)
            + FailureLogOdds.completions(job.doneCount() + job.worked() + works);
    for (String id : jobFailures.failedOn.keySet()) {
      sum += FailureLogOdds.failureUnless(machineOdds(id, job.spec().ref(), false));
    }
    return sum + FailureLogOdds.outlived(outlived / (double) jobFailures.failures);
  }

  /** Tasks that live on, on other machines than this one. */
  long working(Job job, JobFailures jobFailures, String butOn) {
    long now = clock.now();
    return ledger.attempts(job).stream()
        .filter(a -> a.ranS(now) > worksAfterS(jobFailures) && !a.host().equals(butOn))
        .count();
  }

  /** Services never complete: a task that outlives by far what failed says as much. */
  private double worksAfterS(JobFailures jobFailures) {
    return Math.max(reportMs / 1000.0, jobFailures == null ? 0 : 2 * jobFailures.longestS);
  }

  /** Log odds that a machine is faulty, by what completed elsewhere. */
  double machineOdds(String id) {
    return machineOdds(id, null, true);
  }

  /**
   * Log odds that a machine is faulty, by other jobs than {@code except}; with {@code knownGood}
   * only by steps that have completed elsewhere, which is what it takes to empty a machine: a job
   * of which some tasks alone are wrong would have it emptied otherwise.
   */
  private double machineOdds(String id, String except, boolean knownGood) {
    double sum = FailureLogOdds.logit(FailureLogOdds.MACHINE_FAULTY);
    MachineFailures machineFailures = machines.get(id);
    if (machineFailures == null) {
      return sum;
    }
    sum += machineFailures.settledOdds();
    for (Map.Entry<String, IntOpenHashSet> entry : machineFailures.failed.entrySet()) {
      Job job = ledger.job(entry.getKey());
      JobFailures jobFailures = jobs.get(entry.getKey());
      if (!entry.getKey().equals(except)
          && job != null
          && jobFailures != null
          && !job.suspected()) {
        sum += says(id, job, jobFailures, entry.getValue(), knownGood);
      }
    }
    return sum;
  }

  private double says(
      String id, Job job, JobFailures jobFailures, IntOpenHashSet failedHere, boolean knownGood) {
    // Replicas are alike, and never complete: others that live on elsewhere say as much.
    boolean service = job.spec().isService();
    long good = service ? working(job, jobFailures, id) + job.worked() : job.doneCount();
    int steps = failedHere.size();
    if (knownGood && service) {
      // The same replica that fails here again and again says as much as another one.
      steps = good > 0 ? jobFailures.failedOn.getInt(id) : 0;
    } else if (knownGood) {
      steps = completedElsewhere(job, failedHere);
    }
    return steps == 0 ? 0 : says(id, jobFailures, good, steps);
  }

  /** What so many steps of one job that failed on a machine say against it. */
  private static double says(String id, JobFailures jobFailures, long good, int steps) {
    double one = FailureLogOdds.failure(FailureLogOdds.rate(jobFailures.elsewhere(id), good));
    // More tasks of one job say less than those of another job.
    return one * (1 + (Math.min(MOST_SAME_JOB, steps) - 1) / 2.0);
  }
}
