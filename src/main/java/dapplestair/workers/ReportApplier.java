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
  private static final double LONGEST_RECALL_S = 1e6;

  private final Clock clock;
  private final Leadership leadership;
  private final MachineTypes types;
  private final Ledger ledger;
  private final LivenessTracker liveness;
  private final CommandSender commandSender;
  private final WorkerManager.Listener listener;
  private final BooleanSupplier leading;
  private long unaccounted;

  /** {@code leading} is true while this controller commands the workers. */
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
    this.leading = leading;
  }

  /**
   * Applies a report. Heard is not reached: whether its machine gets our answers is known when it
   * answers a call, or shows a token that only an answer since can have shown it. Until then it is
   * no sign of life, neither of the machine nor of its zone: it may be deaf, or the report a copy
   * that comes late. Facts in it are facts all the same, and proofs have their own conditions.
   */
  void apply(Host host, Report report, boolean answer) {
    leadership.observeTerm(FencingToken.term(report.token()));
    if (!leading.getAsBoolean() || !leadership.isLeading()) {
      return;
    }
    Fencing.shown(host, leadership.term(), report.token());
    if (!report.after(host.session, host.tick) || host.gone()) {
      return;
    }
    boolean first = !host.up() || !host.acknowledged;
    host.session = report.session();
    host.tick = report.tick();
    host.tokenSeen = report.token();
    long challenge = Math.max(host.challenge, FencingToken.of(leadership.term(), 0));
    boolean reached = answer || report.token() >= challenge;
    if (reached) {
      liveness.reached(host, report.zone(), !answer);
    }
    host.describe(report.endpoint(), types.get(report.type()), report.zone(), report.spot());
    if (!host.acknowledged && report.token() >= FencingToken.of(leadership.term(), 0)) {
      host.acknowledged = true;
    }
    boolean recalledBefore = host.recalled();
    if (reached || !host.recalled()) {
      host.recallAt = recallAt(report);
    }
    List<Report.Task> strays = ledger.applyReport(host, report);
    host.strays = 0;
    if (host.acknowledged) {
      strays.forEach(t -> stray(host, t));
    }
    if (host.failedCalls > 0 && !host.calling) {
      // Heard again: it is used as soon as it answers, not when its turn to be asked comes.
      host.callAgainAt = clock.now();
      commandSender.probe(host);
    }
    if (first || recalledBefore != host.recalled()) {
      listener.hostChanged(host);
    }
    if (!host.acknowledged) {
      commandSender.probe(host);
    }
  }

  /** How often a task was reported that no attempt accounts for, since this process began. */
  long unaccounted() {
    return unaccounted;
  }

  private long recallAt(Report report) {
    return Double.isNaN(report.recallS())
        ? Long.MAX_VALUE
        : clock.now()
            + Math.round(Math.min(LONGEST_RECALL_S, Math.max(0, report.recallS())) * 1000);
  }

  /** A task that no attempt accounts for: it is stopped and taken out of the reports. */
  private void stray(Host host, Report.Task task) {
    if (task.status() == Report.Status.EXITED) {
      commandSender.queue(host.id(), new WorkerCommand.Clear(task.key(), task.attempt()));
    } else {
      host.strays++;
      unaccounted++;
      LOG.warn("{} try {} on {} is unaccounted for", task.key(), task.attempt(), host.id());
      commandSender.queue(host.id(), new WorkerCommand.Halt(task.key(), task.attempt(), 0));
    }
  }
}
