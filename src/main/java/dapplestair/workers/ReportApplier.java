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

/** Updates what the leader knows of a machine from its report, whichever way the report came. */
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

  /**
   * Creates an applier; {@code isLeading} returns true while this controller commands the workers.
   */
  ReportApplier(
      Clock clock,
      Leadership leadership,
      MachineTypes types,
      Ledger ledger,
      LivenessTracker liveness,
      CommandSender commandSender,
      WorkerManager.Listener listener,
      BooleanSupplier isLeading) {
    this.clock = clock;
    this.leadership = leadership;
    this.types = types;
    this.ledger = ledger;
    this.liveness = liveness;
    this.commandSender = commandSender;
    this.listener = listener;
    this.isLeading = isLeading;
  }

  /**
   * Applies a report. A machine that is heard is not necessarily reached: that it receives our
   * replies is known only when it answers a call, or shows a token that it can have learned only
   * from a recent reply. Until then a report is no sign of life of the machine or of its zone,
   * since the machine may receive nothing, or the report may be a delayed copy. What the report
   * says about tasks is used in any case, and what it proves has conditions of its own.
   */
  void apply(Host host, Report report, boolean isCallReply) {
    leadership.observeTerm(FencingToken.term(report.token()));
    if (!isLeading.getAsBoolean() || !leadership.isLeading()) {
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
    long requiredToken = Math.max(host.reachabilityToken, FencingToken.of(leadership.term(), 0));
    boolean isReached = isCallReply || report.token() >= requiredToken;
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
    List<Report.Task> strayTasks = ledger.applyReport(host, report);
    host.strayTaskCount = 0;
    if (host.termAcknowledged) {
      strayTasks.forEach(task -> stopStrayTask(host, task));
    }
    if (host.failedCalls > 0 && !host.callInProgress) {
      // The machine is heard again. It is called at once, so that it can be used as soon as it
      // answers, rather than after the delay for failed calls.
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

  /**
   * Returns how often a task was reported that no attempt accounts for, since this process began.
   */
  long unaccountedTasks() {
    return unaccountedTasks;
  }

  private long reclaimAt(Report report) {
    return Double.isNaN(report.reclaimInS())
        ? Long.MAX_VALUE
        : clock.now()
            + Math.round(Math.min(MAX_RECLAIM_S, Math.max(0, report.reclaimInS())) * 1000);
  }

  /** Stops a task that no attempt accounts for, or clears it from the reports if it has exited. */
  private void stopStrayTask(Host host, Report.Task task) {
    if (task.status() == Report.Status.EXITED) {
      commandSender.queue(host.id(), new WorkerCommand.Clear(task.key(), task.attempt()));
    } else {
      host.strayTaskCount++;
      unaccountedTasks++;
      LOG.warn(
          "stopping task {} attempt {} on {}: no recorded attempt accounts for it",
          task.key(),
          task.attempt(),
          host.id());
      commandSender.queue(host.id(), new WorkerCommand.Halt(task.key(), task.attempt(), 0));
    }
  }
}
