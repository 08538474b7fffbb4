package dapplestair.ledger;

import dapplestair.work.Report;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What reports of workers prove about attempts: that they run, have ended or are absent. */
final class Evidence {
  private static final Logger LOG = LoggerFactory.getLogger(Evidence.class);

  private static final int MOST_HELD_STEPS = 64;

  private final Office office;
  private final Attempts attempts;
  private final ChunkWriter writer;
  private final Endings endings;

  Evidence(Office office, Attempts attempts, ChunkWriter writer, Endings endings) {
    this.office = office;
    this.attempts = attempts;
    this.writer = writer;
    this.endings = endings;
  }

  /** Applies a machine's newest report. Returns tasks in it that no attempt accounts for. */
  List<Report.Task> report(Machine host, Report r) {
    List<Report.Task> strays = new ArrayList<>();
    Set<Attempt> seen = new HashSet<>();
    for (Report.Task t : r.tasks()) {
      Attempt a = host.attempt(t.key());
      if (a == null || a.number != t.attempt() || a.session != r.session()) {
        strays.add(t);
      } else {
        seen.add(a);
        seen(host, a, t);
      }
    }
    for (Attempt a : List.copyOf(host.attempts())) {
      if (!seen.contains(a) && provedAbsent(a, r)) {
        if (a.done) {
          continue;
        }
        LOG.debug("{} try {} is not on {} any more", a.key(), a.number, host.id());
        attempts.absent(a);
      }
    }
    return office.armed() ? strays : List.of();
  }

  /** True when this report, newer than any before, proves that the attempt is not there. */
  static boolean provedAbsent(Attempt a, Report r) {
    // A later session has killed all that the earlier one ran, and refuses launches meant for it.
    if (r.session() > a.session) {
      return true;
    }
    // Otherwise the report must come after the last moment at which a launch could be executed.
    return a.sent() && r.session() == a.session && r.token() >= a.neededToken;
  }

  private void seen(Machine host, Attempt a, Report.Task t) {
    a.seenOnMachine();
    if (a.status != t.status()) {
      long now = office.clock.now();
      if (a.status == Report.Status.RUNNING) {
        a.ranBeforeExitS = a.ranS(now);
      }
      a.status = t.status();
      a.statusAt = now;
      if (t.status() == Report.Status.RUNNING) {
        if (!a.job.begun && !a.adopted) {
          a.job.begunAfterMs = office.clock.wall() - a.job.askedWall();
        }
        a.job.begun = true;
        a.began = true;
        a.job.chunkOf(a.step).resumed(a.step);
        office.hooks.started(a);
        host.imageSeen(a.spec(), now);
      } else if (t.status() == Report.Status.EXITED) {
        exited(host, a, t);
      }
    }
  }

  private void exited(Machine host, Attempt a, Report.Task t) {
    String cause = t.cause();
    LOG.debug("{} try {} exited on {}: {}", a.key(), a.number, host.id(), cause);
    if (cause.equals("done") && !a.spec().service()) {
      completed(host, a);
      return;
    }
    if (cause.equals("error")) {
      a.job.failedOn.addTo(host.id(), 1);
      office.hooks.failed(a, host);
    } else if (cause.equals("unknown") || cause.equals("busy")) {
      holdBack(a.job, office.settings.workers().reportMs() / 3);
    }
    if (t.stored()) {
      a.job.keep(a.step, a.ranBeforeExitS - a.keptS(a.ranBeforeExitS));
    }
    attempts.retire(a);
    office.hooks.clear(a.host, a.key(), a.number);
  }

  private void completed(Machine host, Attempt a) {
    Chunk c = a.job.chunkOf(a.step);
    a.done = true;
    attempts.vacate(a);
    c.done.set(a.step - c.from);
    office.hooks.completed(a, host, a.ranBeforeExitS);
    if (a.job.over) {
      attempts.drop(a);
    } else if (!endings.finishIfDone(a.job)) {
      // Recorded before it is cleared: until then the report is the only proof.
      writer.dirty(a.job, c, false);
    }
    office.hooks.changed();
  }

  /**
   * A step that fails again waits for longer each time, whatever becomes of the job's other steps;
   * if many do, the job waits as a whole.
   */
  void failedStep(Attempt a, long firstMs, long mostMs) {
    Job job = a.job;
    int before = job.stepFailures.addTo(a.step, 1);
    if (before == 0 || job.spec().gang()) {
      // A gang starts as a whole, so it waits as a whole.
      return;
    }
    // A replica is missed each second, and a service that is wrong waits as a whole.
    long most = job.spec().service() ? Math.min(mostMs, 4 * firstMs) : mostMs;
    long ms = Math.min(most, firstMs << Math.min(10, before - 1));
    if (job.heldSteps.size() >= MOST_HELD_STEPS) {
      holdBack(job, ms);
    } else if (job.heldSteps.add(a.step)) {
      office.timers.after(
          ms,
          () -> {
            job.heldSteps.remove(a.step);
            office.hooks.changed();
          });
    }
  }

  /** What failed on a machine that turned out to be faulty is held against no step. */
  void forgive(Job job, int step) {
    job.stepFailures.remove(step);
    job.heldSteps.remove(step);
    office.hooks.changed();
  }

  /** Keeps a job from starting tasks for a while. */
  void holdBack(Job job, long ms) {
    job.heldBackUntil = Math.max(job.heldBackUntil, office.clock.now() + ms);
    office.timers.after(ms + 1, office.hooks::changed);
  }
}
