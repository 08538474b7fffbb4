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

  private static final int MOST_HELD_STEPS = 64;

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
  List<Report.Task> report(Machine host, Report report) {
    List<Report.Task> strays = new ArrayList<>();
    Set<Attempt> seen = new LinkedHashSet<>();
    for (Report.Task task : report.tasks()) {
      Attempt attempt = host.attempt(task.key());
      if (attempt == null
          || attempt.number != task.attempt()
          || attempt.session != report.session()) {
        strays.add(task);
      } else {
        seen.add(attempt);
        seen(host, attempt, task);
      }
    }
    for (Attempt attempt : List.copyOf(host.attempts())) {
      if (!seen.contains(attempt) && provedAbsent(attempt, report)) {
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
        attempts.absent(attempt);
      }
    }
    return context.armed() ? strays : List.of();
  }

  /** True when this report, newer than any before, proves that the attempt is not there. */
  static boolean provedAbsent(Attempt attempt, Report report) {
    // A later session has killed all that the earlier one ran, and refuses launches meant for it.
    if (report.session() > attempt.session) {
      return true;
    }
    // Otherwise the report must come after the last moment at which a launch could be executed.
    return attempt.sent()
        && report.session() == attempt.session
        && report.token() >= attempt.neededToken;
  }

  private void seen(Machine host, Attempt attempt, Report.Task task) {
    attempt.seenOnMachine();
    if (attempt.status == null && task.status() != Report.Status.EXITED) {
      refusedStarts.taken(host);
    }
    if (attempt.status != task.status()) {
      long now = context.clock.now();
      if (attempt.status == Report.Status.RUNNING) {
        attempt.ranBeforeExitS = attempt.ranS(now);
      }
      attempt.status = task.status();
      attempt.statusAt = now;
      if (task.status() == Report.Status.RUNNING) {
        if (!attempt.job.begun && !attempt.adopted) {
          attempt.job.begunAfterMs = context.clock.wall() - attempt.job.askedWall();
          LOG.debug(
              "{} of {} tasks begins {} ms after it was asked for, {} ms after it was accepted",
              attempt.job.spec().ref(),
              attempt.spec().taskCount(),
              attempt.job.begunAfterMs,
              context.clock.wall() - attempt.job.acceptedWall());
        }
        if (!attempt.began && !attempt.adopted) {
          LOG.debug(
              "{} try {} starts on {} {} ms after its job was asked for",
              attempt.key(),
              attempt.number(),
              host.id(),
              context.clock.wall() - attempt.job.askedWall());
        }
        attempt.job.begun = true;
        attempt.began = true;
        attempt.job.chunkOf(attempt.step).resumed(attempt.step);
        context.callbacks.started(attempt);
        host.imageSeen(attempt.spec(), now);
      } else if (task.status() == Report.Status.EXITED) {
        exited(host, attempt, task);
      }
    }
  }

  private void exited(Machine host, Attempt attempt, Report.Task task) {
    String cause = task.cause();
    LOG.debug("{} try {} exited on {}: {}", attempt.key(), attempt.number, host.id(), cause);
    if (cause.equals("done") && !attempt.spec().isService()) {
      completed(host, attempt);
      return;
    }
    if (cause.equals("error")) {
      attempt.job.failedOn.put(host.id(), context.clock.now());
      context.callbacks.failed(attempt, host);
    } else if (cause.equals("unknown") || cause.equals("busy")) {
      holdBack(attempt.job, context.settings.workers().reportMs() / 3);
    }
    if (task.stored()) {
      attempt.job.keep(
          attempt.step, attempt.ranBeforeExitS - attempt.keptS(attempt.ranBeforeExitS));
    }
    // Before its room is given back: nothing is to be placed there first.
    refusedStarts.exited(host, cause);
    attempts.retire(attempt);
    context.callbacks.clear(attempt.host, attempt.key(), attempt.number);
  }

  private void completed(Machine host, Attempt attempt) {
    Chunk chunk = attempt.job.chunkOf(attempt.step);
    attempt.done = true;
    attempts.vacate(attempt);
    chunk.done.set(attempt.step - chunk.from);
    context.callbacks.completed(attempt, host, attempt.ranBeforeExitS);
    if (attempt.job.over) {
      attempts.drop(attempt);
    } else if (!jobFinalizer.finishIfDone(attempt.job)) {
      // Recorded before it is cleared: until then the report is the only proof.
      writer.dirty(attempt.job, chunk, false);
    }
    context.callbacks.changed();
  }

  /**
   * A step that fails again waits for longer each time, whatever becomes of the job's other steps;
   * if many do, the job waits as a whole.
   */
  void failedStep(Attempt attempt, long firstMs, long mostMs) {
    Job job = attempt.job;
    int before = job.stepFailures.addTo(attempt.step, 1);
    if (before == 0 || job.spec().isGang()) {
      // A gang starts as a whole, so it waits as a whole.
      return;
    }
    // A replica is missed each second, and a service that is wrong waits as a whole.
    long most = job.spec().isService() ? Math.min(mostMs, 4 * firstMs) : mostMs;
    long ms = Math.min(most, firstMs << Math.min(10, before - 1));
    if (job.heldSteps.size() >= MOST_HELD_STEPS) {
      holdBack(job, ms);
    } else if (job.heldSteps.add(attempt.step)) {
      context.timers.after(
          ms,
          () -> {
            job.heldSteps.remove(attempt.step);
            context.callbacks.changed();
          });
    }
  }

  /** What failed on a machine that turned out to be faulty is held against no step. */
  void forgive(Job job, int step) {
    job.stepFailures.remove(step);
    job.heldSteps.remove(step);
    context.callbacks.changed();
  }

  /** Keeps a job from starting tasks for a while. */
  void holdBack(Job job, long ms) {
    job.heldBackUntil = Math.max(job.heldBackUntil, context.clock.now() + ms);
    context.timers.after(ms + 1, context.callbacks::changed);
  }
}
