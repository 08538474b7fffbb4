package dapplestair.workers;

import dapplestair.leadership.FencingToken;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Ledger;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import dapplestair.work.Report;
import dapplestair.work.WorkerCommand;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies a report to what the leader knows of its machine, wherever the report came from. */
final class ReportApplier {
  private static final Logger LOG = LoggerFactory.getLogger(ReportApplier.class);
  private static final double MAX_RECLAIM_S = 1e6;

  private final Clock clock;
  private final Leadership leadership;
  private final MachineTypes types;
  private final Ledger ledger;
  private final LivenessTracker liveness;
  private final CommandSender commandSender;
  private final WorkerManager.Listener listener;
  private final BooleanSupplier isLeading;
  private long unaccountedTasks;

  /** {@code isLeading} is true while this controller commands the workers. */
  ReportApplier(
      Clock clock,
      Leadership leadership,
      MachineTypes types,
      Ledger ledger,
      LivenessTracker liveness,
      CommandSender commandSender,
      WorkerManager.Listener listener,
      BooleanSupplier leading) {
    this.clock = clock;
    this.leadership = leadership;
    this.types = types;
    this.ledger = ledger;
    this.liveness = liveness;
    this.commandSender = commandSender;
    this.listener = listener;
    this.isLeading = leading;
  }

  /**
   * Applies a report. Heard is not reached: whether its machine gets our answers is known when it
   * answers a call, or shows a token that only an answer since can have shown it. Until then it is
   * no sign of life, neither of the machine nor of its zone: it may be deaf, or the report a copy
   * that comes late. Facts in it are facts all the same, and proofs have their own conditions.
   */
  void apply(Host host, Report report, boolean isCallReply) {
    leadership.termShown(FencingToken.term(report.token()));
    if (!isLeading.getAsBoolean() || !leadership.leading()) {
      return;
    }
    Fencing.tokenShown(host, leadership.term(), report.token());
    if (!report.isNewerThan(host.session, host.tick) || host.isGone()) {
      return;
    }
    boolean isFirstReport = !host.isUp() || !host.termAcknowledged;
    host.session = report.session();
    host.tick = report.tick();
    host.tokenSeen = report.token();
    long challenge = Math.max(host.reachabilityToken, FencingToken.of(leadership.term(), 0));
    boolean isReached = isCallReply || report.token() >= challenge;
    if (isReached) {
      liveness.recordContact(host, report.zone(), !isCallReply);
    }
    host.describe(report.endpoint(), types.get(report.type()), report.zone(), report.spot());
    if (!host.termAcknowledged && report.token() >= FencingToken.of(leadership.term(), 0)) {
      host.termAcknowledged = true;
    }
    boolean hadReclaimNotice = host.hasReclaimNotice();
    if (isReached || !host.hasReclaimNotice()) {
      host.reclaimAt = reclaimAt(report);
    }
    List<Report.Task> strayTasks = ledger.report(host, report);
    host.strayTaskCount = 0;
    if (host.termAcknowledged) {
      strayTasks.forEach(task -> stopStrayTask(host, task));
    }
    if (host.failedCalls > 0 && !host.callInProgress) {
      // Heard again: it is used as soon as it answers, not when its turn to be asked comes.
      host.nextCallAt = clock.now();
      commandSender.probe(host);
    }
    if (isFirstReport || hadReclaimNotice != host.hasReclaimNotice()) {
      listener.hostChanged(host);
    }
    if (!host.termAcknowledged) {
      commandSender.probe(host);
    }
  }

  /** How often a task was reported that no attempt accounts for, since this process began. */
  long unaccountedTasks() {
    return unaccountedTasks;
  }

  private long reclaimAt(Report report) {
    return Double.isNaN(report.reclaimInS())
        ? Long.MAX_VALUE
        : clock.now()
            + Math.round(Math.min(MAX_RECLAIM_S, Math.max(0, report.reclaimInS())) * 1000);
  }

  /** A task that no attempt accounts for: it is stopped and taken out of the reports. */
  private void stopStrayTask(Host host, Report.Task task) {
    if (task.status() == Report.Status.EXITED) {
      commandSender.queue(host.id(), new WorkerCommand.Clear(task.key(), task.attempt()));
    } else {
      host.strayTaskCount++;
      unaccountedTasks++;
      LOG.warn("{} try {} on {} is unaccounted for", task.key(), task.attempt(), host.id());
      commandSender.queue(host.id(), new WorkerCommand.Halt(task.key(), task.attempt(), 0));
    }
  }
}
