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

/**
 * Records which tasks of which jobs failed on which machines, and computes the evidence against
 * each job and machine.
 */
final class FailureRecords {
  private static final int MAX_STEPS_PER_JOB = 4;

  // Once this many jobs have failed on a machine, and no task has completed there since, it gets
  // one task at a time, whoever is to blame. A healthy machine hardly ever gets two wrong jobs in a
  // row.
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

  /** Returns the failures held against a job, or null. */
  JobFailures failuresOf(String ref) {
    return failuresByJob.get(ref);
  }

  /** Forgets machines that are gone. */
  void forgetGoneMachines() {
    failuresByMachine.keySet().removeIf(id -> workers.findHost(id) == null);
  }

  /** Records that a task failed by itself. */
  JobFailures recordFailure(Attempt attempt, Host host) {
    String ref = attempt.job().spec().ref();
    JobFailures jobFailures = failuresByJob.computeIfAbsent(ref, r -> new JobFailures());
    jobFailures.recordFailure(host.id(), attempt.runTimeBeforeExitS());
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

  /**
   * Records that a task completed; if it began after the first failure on its machine, the machine
   * is cleared.
   */
  void recordCompletion(Attempt attempt, Host host) {
    MachineFailures machineFailures = failuresByMachine.get(host.id());
    if (machineFailures != null && attempt.plannedAtMs() > machineFailures.sinceMs) {
      failuresByMachine.remove(host.id());
      updateFailureCount(host.id());
      host.setProbation(Probation.NONE);
    }
  }

  /**
   * Closes the records of a job that is over; nothing is held against it any more. Its steps that
   * failed on a machine and completed elsewhere remain as evidence against that machine.
   */
  void closeJob(String ref) {
    JobFailures jobFailures = failuresByJob.get(ref);
    if (jobFailures == null) {
      return;
    }
    Job job = ledger.job(ref);
    boolean trusted = job != null && !job.isSuspected();
    for (String hostId : jobFailures.failuresByHost.keySet()) {
      MachineFailures machineFailures = failuresByMachine.get(hostId);
      IntOpenHashSet steps =
          machineFailures == null ? null : machineFailures.failedStepsByJob.remove(ref);
      if (steps == null) {
        continue;
      }
      int completedSteps = trusted ? countCompletedElsewhere(job, steps) : 0;
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

  private static int countCompletedElsewhere(Job job, IntOpenHashSet steps) {
    return (int) steps.intStream().filter(job::isDone).count();
  }

  /**
   * Updates the failure counts of machines after the verdict on a job has changed, so that its
   * failures are now explained or no longer explained.
   */
  void verdictChanged(JobFailures jobFailures) {
    jobFailures.failuresByHost.keySet().forEach(this::updateFailureCount);
  }

  private void updateFailureCount(String hostId) {
    Host host = workers.findHost(hostId);
    MachineFailures machineFailures = failuresByMachine.get(hostId);
    if (host != null) {
      host.setFailures(
          machineFailures == null ? 0 : machineFailures.countUnexplainedSteps(this::isSuspected));
    }
  }

  /**
   * Returns whether this job is currently suspected, which explains its failures on any machine.
   */
  private boolean isSuspected(String ref) {
    Job job = ledger.job(ref);
    return job != null && job.isSuspected();
  }

  /**
   * Removes the failures on a machine that proved faulty from the records of each unsuspected job,
   * and passes each such job and its failed steps to the action.
   */
  void discountFailuresOn(String hostId, BiConsumer<Job, IntOpenHashSet> action) {
    failuresByMachine
        .get(hostId)
        .failedStepsByJob
        .forEach(
            (ref, steps) -> {
              Job job = ledger.job(ref);
              JobFailures jobFailures = failuresByJob.get(ref);
              if (job != null && jobFailures != null && !job.isSuspected()) {
                jobFailures.failuresByHost.removeInt(hostId);
                action.accept(job, steps);
              }
            });
  }

  // ---- evidence ----

  /** Returns the log odds that a job is wrong. */
  double jobLogOdds(Job job, JobFailures jobFailures) {
    long nowMs = clock.now();
    long workingTasks = countWorking(job, jobFailures, null);
    long outlivedTasks =
        ledger.attempts(job).stream()
                .filter(a -> a.runTimeS(nowMs) > jobFailures.longestRunS)
                .count()
            - workingTasks;
    double logOdds =
        FailureLogOdds.logit(FailureLogOdds.JOB_WRONG_PROBABILITY)
            + FailureLogOdds.completionEvidence(
                job.doneCount() + job.interruptedReplicas() + workingTasks);
    for (String hostId : jobFailures.failuresByHost.keySet()) {
      logOdds +=
          FailureLogOdds.failureEvidenceGiven(machineLogOdds(hostId, job.spec().ref(), false));
    }
    return logOdds
        + FailureLogOdds.outlivedEvidence(outlivedTasks / (double) jobFailures.failureCount);
  }

  /**
   * Returns the number of the job's tasks that have run for long enough to count as working, on
   * machines other than the excluded one; null excludes none.
   */
  long countWorking(Job job, JobFailures jobFailures, String excludedHostId) {
    long nowMs = clock.now();
    return ledger.attempts(job).stream()
        .filter(
            a -> a.runTimeS(nowMs) > workingAfterS(jobFailures) && !a.host().equals(excludedHostId))
        .count();
  }

  /**
   * Returns the run time, in seconds, from which a task counts as working. Services never complete,
   * so a task that runs far longer than the failed ones counts like a completion.
   */
  private double workingAfterS(JobFailures jobFailures) {
    return Math.max(reportMs / 1000.0, jobFailures == null ? 0 : 2 * jobFailures.longestRunS);
  }

  /**
   * Returns the log odds that a machine is faulty, judging only by steps that completed elsewhere.
   */
  double machineLogOdds(String hostId) {
    return machineLogOdds(hostId, null, true);
  }

  /**
   * Returns the log odds that a machine is faulty, by the failures of all jobs but {@code
   * excludedRef}. With {@code provenOnly}, only steps that have completed elsewhere count; draining
   * a machine requires this, since a job of which only some tasks are wrong would otherwise have it
   * drained.
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
          && !job.isSuspected()) {
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
    // Replicas are alike and never complete, so replicas that keep running elsewhere count like
    // completions.
    boolean isService = job.spec().isService();
    long succeededTasks =
        isService
            ? countWorking(job, jobFailures, hostId) + job.interruptedReplicas()
            : job.doneCount();
    int steps = failedHere.size();
    if (provenOnly && isService) {
      // Repeated failures of one replica here count like failures of several replicas.
      steps = succeededTasks > 0 ? jobFailures.failuresByHost.getInt(hostId) : 0;
    } else if (provenOnly) {
      steps = countCompletedElsewhere(job, failedHere);
    }
    return steps == 0 ? 0 : evidenceAgainst(hostId, jobFailures, succeededTasks, steps);
  }

  /** Returns the evidence against a machine from this many steps of one job that failed on it. */
  private static double evidenceAgainst(
      String hostId, JobFailures jobFailures, long succeededTasks, int steps) {
    double stepEvidence =
        FailureLogOdds.failureEvidence(
            FailureLogOdds.failureRate(jobFailures.failuresElsewhere(hostId), succeededTasks));
    // Further tasks of one job are weaker evidence than a task of another job.
    return stepEvidence * (1 + (Math.min(MAX_STEPS_PER_JOB, steps) - 1) / 2.0);
  }
}
