package dapplestair.ledger;

import dapplestair.work.Report;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies what workers' reports prove about attempts: that they run, have ended or are absent. */
final class AttemptReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptReconciler.class);

  private static final int MAX_DELAYED_STEPS = 64;

  private final LedgerContext context;
  private final Attempts attempts;
  private final ChunkWriter writer;
  private final JobFinalizer jobFinalizer;
  private final RefusedStarts refusedStarts;

  AttemptReconciler(
      LedgerContext context, Attempts attempts, ChunkWriter writer, JobFinalizer jobFinalizer) {
    this.context = context;
    this.attempts = attempts;
    this.writer = writer;
    this.jobFinalizer = jobFinalizer;
    this.refusedStarts = new RefusedStarts(context);
  }

  /** Returns the number of starts that machines have refused since this process began, by cause. */
  Map<String, Long> refusedStarts() {
    return refusedStarts.byCause();
  }

  /** Applies a machine's newest report. Returns the tasks in it that belong to no known attempt. */
  List<Report.Task> applyReport(Machine host, Report report) {
    List<Report.Task> unknownTasks = new ArrayList<>();
    Set<Attempt> reportedAttempts = new LinkedHashSet<>();
    for (Report.Task task : report.tasks()) {
      Attempt attempt = host.attempt(task.key());
      if (attempt == null
          || attempt.number != task.attempt()
          || attempt.session != report.session()) {
        unknownTasks.add(task);
      } else {
        reportedAttempts.add(attempt);
        applyTaskReport(host, attempt, task);
      }
    }
    for (Attempt attempt : List.copyOf(host.attempts())) {
      if (!reportedAttempts.contains(attempt) && provesAbsence(attempt, report)) {
        if (attempt.done) {
          continue;
        }
        LOG.debug(
            "{} attempt {} is absent from {}: report {} of session {} with token {} proves it, needed token {} of session {}",
            attempt.key(),
            attempt.number,
            host.id(),
            report.tick(),
            report.session(),
            report.token(),
            attempt.neededToken,
            attempt.session);
        attempts.markAbsent(attempt);
      }
    }
    return context.isReady() ? unknownTasks : List.of();
  }

  /**
   * Returns true if this report, newer than any before, proves that the attempt is not on the
   * machine.
   */
  static boolean provesAbsence(Attempt attempt, Report report) {
    // A later session has killed all tasks of the earlier one, and refuses launches meant for it.
    if (report.session() > attempt.session) {
      return true;
    }
    // Otherwise the report must be later than the last moment at which the launch could be
    // executed.
    return attempt.isSent()
        && report.session() == attempt.session
        && report.token() >= attempt.neededToken;
  }

  private void applyTaskReport(Machine host, Attempt attempt, Report.Task task) {
    attempt.markSeenOnMachine();
    if (attempt.status == null && task.status() != Report.Status.EXITED) {
      refusedStarts.onStartAccepted(host);
    }
    if (attempt.status != task.status()) {
      long now = context.clock.now();
      if (attempt.status == Report.Status.RUNNING) {
        attempt.runTimeBeforeExitS = attempt.runTimeS(now);
      }
      attempt.status = task.status();
      attempt.statusSinceMs = now;
      if (task.status() == Report.Status.RUNNING) {
        if (!attempt.job.hasBegun && !attempt.adopted) {
          attempt.job.startDelayMs = context.clock.wall() - attempt.job.firstRequestWallMs();
          LOG.debug(
              "job {} of {} tasks begins to run {} ms after it was first submitted, {} ms after it was accepted",
              attempt.job.spec().ref(),
              attempt.spec().taskCount(),
              attempt.job.startDelayMs,
              context.clock.wall() - attempt.job.acceptedWallMs());
        }
        if (!attempt.seenRunning && !attempt.adopted) {
          LOG.debug(
              "{} attempt {} runs on {} {} ms after its job was first submitted",
              attempt.key(),
              attempt.number(),
              host.id(),
              context.clock.wall() - attempt.job.firstRequestWallMs());
        }
        attempt.job.hasBegun = true;
        attempt.seenRunning = true;
        attempt.job.chunkOf(attempt.step).markResumed(attempt.step);
        context.callbacks.onTaskStarted(attempt);
        host.markImageInUse(attempt.spec(), now);
      } else if (task.status() == Report.Status.EXITED) {
        onExited(host, attempt, task);
      }
    }
  }

  private void onExited(Machine host, Attempt attempt, Report.Task task) {
    String cause = task.cause();
    LOG.debug(
        "{} attempt {} exited on {}, cause {}", attempt.key(), attempt.number, host.id(), cause);
    if (cause.equals("done") && !attempt.spec().isService()) {
      onCompleted(host, attempt);
      return;
    }
    if (cause.equals("error")) {
      attempt.job.lastFailureMsByMachine.put(host.id(), context.clock.now());
      context.callbacks.onTaskFailed(attempt, host);
    } else if (cause.equals("unknown") || cause.equals("busy")) {
      delayStarts(attempt.job, context.settings.workers().reportMs() / 3);
    }
    if (task.stored()) {
      attempt.job.addSavedTime(
          attempt.step,
          attempt.runTimeBeforeExitS - attempt.checkpointedS(attempt.runTimeBeforeExitS));
    }
    // The machine is paused before the resources are released, so that nothing is placed there in
    // between.
    refusedStarts.onExited(host, cause);
    attempts.remove(attempt);
    context.callbacks.clear(attempt.host, attempt.key(), attempt.number);
  }

  private void onCompleted(Machine host, Attempt attempt) {
    Chunk chunk = attempt.job.chunkOf(attempt.step);
    attempt.done = true;
    attempts.releaseResources(attempt);
    chunk.completedSteps.set(attempt.step - chunk.firstStep);
    context.callbacks.onTaskCompleted(attempt, host, attempt.runTimeBeforeExitS);
    if (attempt.job.ended) {
      attempts.discard(attempt);
    } else if (!jobFinalizer.finishIfDone(attempt.job)) {
      // The completion is recorded before the report is cleared: until then the report is its only
      // proof.
      writer.markDirty(attempt.job, chunk, false);
    }
    context.callbacks.onChanged();
  }

  /**
   * Records a step's failure. A step that fails again is delayed, longer after each failure,
   * whatever becomes of the job's other steps; if many steps do so, the whole job is delayed.
   */
  void recordStepFailure(Attempt attempt, long firstDelayMs, long maxDelayMs) {
    Job job = attempt.job;
    int earlierFailures = job.stepFailures.addTo(attempt.step, 1);
    if (earlierFailures == 0 || job.spec().isGang()) {
      // A gang starts as a whole, so it is delayed as a whole.
      return;
    }
    // A replica's delay is kept short, since its service runs with a replica too few meanwhile; a
    // service that fails everywhere is delayed as a whole.
    long cappedDelayMs =
        job.spec().isService() ? Math.min(maxDelayMs, 4 * firstDelayMs) : maxDelayMs;
    long delayMs = Math.min(cappedDelayMs, firstDelayMs << Math.min(10, earlierFailures - 1));
    if (job.delayedSteps.size() >= MAX_DELAYED_STEPS) {
      delayStarts(job, delayMs);
    } else if (job.delayedSteps.add(attempt.step)) {
      context.timers.after(
          delayMs,
          () -> {
            job.delayedSteps.remove(attempt.step);
            context.callbacks.onChanged();
          });
    }
  }

  /** Clears a step's failures on a machine that turned out to be faulty. */
  void clearStepFailures(Job job, int step) {
    job.stepFailures.remove(step);
    job.delayedSteps.remove(step);
    context.callbacks.onChanged();
  }

  /** Keeps a job from starting tasks for {@code delayMs}. */
  void delayStarts(Job job, long delayMs) {
    job.startsDelayedUntilMs = Math.max(job.startsDelayedUntilMs, context.clock.now() + delayMs);
    context.timers.after(delayMs + 1, context.callbacks::onChanged);
  }
}
