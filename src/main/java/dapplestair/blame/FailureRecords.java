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
  private static final int MAX_STEPS_PER_JOB = 4;

  // A machine on which so many jobs failed, and none completed since, is tried by one task at a
  // time, whoever is to blame. A healthy one hardly ever gets two wrong jobs in a row.
  private static final int PROBATION_MIN_JOBS = 2;
  private static final int PROBATION_REPORTS = 10;

  private final Clock clock;
  private final long reportMs;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final Map<String, JobFailures> failuresByJob = new HashMap<>();
  private final Map<String, MachineFailures> failuresByMachine = new HashMap<>();

  FailureRecords(Clock clock, long reportMs, Ledger ledger, WorkerManager workers) {
    this.clock = clock;
    this.reportMs = reportMs;
    this.ledger = ledger;
    this.workers = workers;
  }

  void clear() {
    failuresByJob.clear();
    failuresByMachine.clear();
  }

  /** What is held against a job, or null. */
  JobFailures failuresOf(String ref) {
    return failuresByJob.get(ref);
  }

  /** Forgets machines that are gone. */
  void forgetGoneMachines() {
    failuresByMachine.keySet().removeIf(id -> workers.known(id) == null);
  }

  /** A task failed by itself. */
  JobFailures recordFailure(Attempt attempt, Host host) {
    String ref = attempt.job().spec().ref();
    JobFailures jobFailures = failuresByJob.computeIfAbsent(ref, r -> new JobFailures());
    jobFailures.recordFailure(host.id(), attempt.ranBeforeExitS());
    MachineFailures machineFailures =
        failuresByMachine.computeIfAbsent(host.id(), h -> new MachineFailures(clock.now()));
    machineFailures.recordFailure(ref, attempt.step());
    updateFailureCount(host.id());
    if (machineFailures.jobCount() >= PROBATION_MIN_JOBS) {
      long untilMs = clock.now() + PROBATION_REPORTS * reportMs;
      host.setProbation(new Probation(machineFailures.sinceMs, untilMs));
    }
    return jobFailures;
  }

  /** A task completed: a machine on which it began after the first failure is cleared. */
  void recordCompletion(Attempt attempt, Host host) {
    MachineFailures machineFailures = failuresByMachine.get(host.id());
    if (machineFailures != null && attempt.plannedAt() > machineFailures.sinceMs) {
      failuresByMachine.remove(host.id());
      updateFailureCount(host.id());
      host.setProbation(Probation.NONE);
    }
  }

  /**
   * A job is over: nothing is held against it. Those of its steps that failed on a machine and have
   * completed elsewhere still say of that machine what they said before.
   */
  void closeJob(String ref) {
    JobFailures jobFailures = failuresByJob.get(ref);
    if (jobFailures == null) {
      return;
    }
    Job job = ledger.job(ref);
    boolean trusted = job != null && !job.suspected();
    for (String hostId : jobFailures.failuresByHost.keySet()) {
      MachineFailures machineFailures = failuresByMachine.get(hostId);
      IntOpenHashSet steps =
          machineFailures == null ? null : machineFailures.failedStepsByJob.remove(ref);
      if (steps == null) {
        continue;
      }
      int completedSteps = trusted ? completedElsewhere(job, steps) : 0;
      if (completedSteps > 0) {
        machineFailures.settleJob(
            evidenceAgainst(hostId, jobFailures, job.doneCount(), completedSteps), completedSteps);
      }
      if (machineFailures.isEmpty()) {
        failuresByMachine.remove(hostId);
      }
      updateFailureCount(hostId);
    }
    failuresByJob.remove(ref);
  }

  private static int completedElsewhere(Job job, IntOpenHashSet steps) {
    return (int) steps.intStream().filter(job::done).count();
  }

  /** The verdict on a job has changed: its failures are explained, or no longer. */
  void verdictChanged(JobFailures jobFailures) {
    jobFailures.failuresByHost.keySet().forEach(this::updateFailureCount);
  }

  private void updateFailureCount(String hostId) {
    Host host = workers.known(hostId);
    MachineFailures machineFailures = failuresByMachine.get(hostId);
    if (host != null) {
      host.setFailures(
          machineFailures == null ? 0 : machineFailures.countUnexplainedSteps(this::isSuspected));
    }
  }

  /** True when this job is wrong by the verdict of now, which explains its failures anywhere. */
  private boolean isSuspected(String ref) {
    Job job = ledger.job(ref);
    return job != null && job.suspected();
  }

  /** Tells of each job of which something failed on a machine that turned out to be faulty. */
  void discountFailuresOn(String hostId, BiConsumer<Job, IntOpenHashSet> action) {
    failuresByMachine
        .get(hostId)
        .failedStepsByJob
        .forEach(
            (ref, steps) -> {
              Job job = ledger.job(ref);
              JobFailures jobFailures = failuresByJob.get(ref);
              if (job != null && jobFailures != null && !job.suspected()) {
                jobFailures.failuresByHost.removeInt(hostId);
                action.accept(job, steps);
              }
            });
  }

  // ---- what it says ----

  /** Log odds that a job is wrong. */
  double jobLogOdds(Job job, JobFailures jobFailures) {
    long nowMs = clock.now();
    long workingTasks = countWorking(job, jobFailures, null);
    long outlivedTasks =
        ledger.attempts(job).stream().filter(a -> a.ranS(nowMs) > jobFailures.longestRunS).count()
            - workingTasks;
    double logOdds =
        FailureLogOdds.logit(FailureLogOdds.JOB_WRONG_PROBABILITY)
            + FailureLogOdds.completionEvidence(job.doneCount() + job.worked() + workingTasks);
    for (String hostId : jobFailures.failuresByHost.keySet()) {
      logOdds +=
          FailureLogOdds.failureEvidenceGiven(machineLogOdds(hostId, job.spec().ref(), false));
    }
    return logOdds
        + FailureLogOdds.outlivedEvidence(outlivedTasks / (double) jobFailures.failureCount);
  }

  /** Tasks that live on, on other machines than this one. */
  long countWorking(Job job, JobFailures jobFailures, String excludedHostId) {
    long nowMs = clock.now();
    return ledger.attempts(job).stream()
        .filter(a -> a.ranS(nowMs) > workingAfterS(jobFailures) && !a.host().equals(excludedHostId))
        .count();
  }

  /** Services never complete: a task that outlives by far what failed says as much. */
  private double workingAfterS(JobFailures jobFailures) {
    return Math.max(reportMs / 1000.0, jobFailures == null ? 0 : 2 * jobFailures.longestRunS);
  }

  /** Log odds that a machine is faulty, by what completed elsewhere. */
  double machineLogOdds(String hostId) {
    return machineLogOdds(hostId, null, true);
  }

  /**
   * Log odds that a machine is faulty, by other jobs than {@code excludedRef}; with {@code
   * provenOnly} only by steps that have completed elsewhere, which is what it takes to empty a
   * machine: a job of which some tasks alone are wrong would have it emptied otherwise.
   */
  private double machineLogOdds(String hostId, String excludedRef, boolean provenOnly) {
    double logOdds = FailureLogOdds.logit(FailureLogOdds.MACHINE_FAULTY_PROBABILITY);
    MachineFailures machineFailures = failuresByMachine.get(hostId);
    if (machineFailures == null) {
      return logOdds;
    }
    logOdds += machineFailures.settledLogOdds();
    for (Map.Entry<String, IntOpenHashSet> entry : machineFailures.failedStepsByJob.entrySet()) {
      Job job = ledger.job(entry.getKey());
      JobFailures jobFailures = failuresByJob.get(entry.getKey());
      if (!entry.getKey().equals(excludedRef)
          && job != null
          && jobFailures != null
          && !job.suspected()) {
        logOdds += evidenceAgainst(hostId, job, jobFailures, entry.getValue(), provenOnly);
      }
    }
    return logOdds;
  }

  private double evidenceAgainst(
      String hostId,
      Job job,
      JobFailures jobFailures,
      IntOpenHashSet failedHere,
      boolean provenOnly) {
    // Replicas are alike, and never complete: others that live on elsewhere say as much.
    boolean isService = job.spec().service();
    long succeededTasks =
        isService ? countWorking(job, jobFailures, hostId) + job.worked() : job.doneCount();
    int steps = failedHere.size();
    if (provenOnly && isService) {
      // The same replica that fails here again and again says as much as another one.
      steps = succeededTasks > 0 ? jobFailures.failuresByHost.getInt(hostId) : 0;
    } else if (provenOnly) {
      steps = completedElsewhere(job, failedHere);
    }
    return steps == 0 ? 0 : evidenceAgainst(hostId, jobFailures, succeededTasks, steps);
  }

  /** What so many steps of one job that failed on a machine say against it. */
  private static double evidenceAgainst(
      String hostId, JobFailures jobFailures, long succeededTasks, int steps) {
    double stepEvidence =
        FailureLogOdds.failureEvidence(
            FailureLogOdds.failureRate(jobFailures.failuresElsewhere(hostId), succeededTasks));
    // More tasks of one job say less than those of another job.
    return stepEvidence * (1 + (Math.min(MAX_STEPS_PER_JOB, steps) - 1) / 2.0);
  }
}
