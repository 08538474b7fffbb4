package dapplestair.ledger;

import dapplestair.work.Report;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What reports of workers prove about attempts: that they run, have ended or are absent. */
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

  /** Starts that machines have refused since this process began, by cause. */
  Map<String, Long> refusedStarts() {
    return refusedStarts.byCause();
  }

  /** Applies a machine's newest report. Returns tasks in it that no attempt accounts for. */
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
            "{} try {} is not on {} any more: report {} of session {} under token {}, needed {} of session {}",
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

  /** True when this report, newer than any before, proves that the attempt is not there. */
  static boolean provesAbsence(Attempt attempt, Report report) {
    // A later session has killed all that the earlier one ran, and refuses launches meant for it.
    if (report.session() > attempt.session) {
      return true;
    }
    // Otherwise the report must come after the last moment at which a launch could be executed.
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
              "{} of {} tasks begins {} ms after it was asked for, {} ms after it was accepted",
              attempt.job.spec().ref(),
              attempt.spec().steps(),
              attempt.job.startDelayMs,
              context.clock.wall() - attempt.job.acceptedWallMs());
        }
        if (!attempt.seenRunning && !attempt.adopted) {
          LOG.debug(
              "{} try {} starts on {} {} ms after its job was asked for",
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
    LOG.debug("{} try {} exited on {}: {}", attempt.key(), attempt.number, host.id(), cause);
    if (cause.equals("done") && !attempt.spec().service()) {
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
    // Before its room is given back: nothing is to be placed there first.
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
      // Recorded before it is cleared: until then the report is the only proof.
      writer.markDirty(attempt.job, chunk, false);
    }
    context.callbacks.onChanged();
  }

  /**
   * A step that fails again waits for longer each time, whatever becomes of the job's other steps;
   * if many do, the job waits as a whole.
   */
  void recordStepFailure(Attempt attempt, long firstDelayMs, long maxDelayMs) {
    Job job = attempt.job;
    int earlierFailures = job.stepFailures.addTo(attempt.step, 1);
    if (earlierFailures == 0 || job.spec().gang()) {
      // A gang starts as a whole, so it waits as a whole.
      return;
    }
    // A replica is missed each second, and a service that is wrong waits as a whole.
    long cappedDelayMs = job.spec().service() ? Math.min(maxDelayMs, 4 * firstDelayMs) : maxDelayMs;
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

  /** What failed on a machine that turned out to be faulty is held against no step. */
  void clearStepFailures(Job job, int step) {
    job.stepFailures.remove(step);
    job.delayedSteps.remove(step);
    context.callbacks.onChanged();
  }

  /** Keeps a job from starting tasks for a while. */
  void delayStarts(Job job, long delayMs) {
    job.startsDelayedUntilMs = Math.max(job.startsDelayedUntilMs, context.clock.now() + delayMs);
    context.timers.after(delayMs + 1, context.callbacks::onChanged);
  }
}
