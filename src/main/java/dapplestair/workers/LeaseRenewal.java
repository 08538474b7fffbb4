package dapplestair.workers;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.cancellations.Cancellations;
import dapplestair.cancellations.KnownCancellations;
import dapplestair.leadership.FencingToken;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Clock;
import dapplestair.work.BoundedMap;
import dapplestair.work.Report;
import dapplestair.work.WorkerCommand;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The answers that keep a worker's lease. A lease is kept only by one who knows of every
 * cancellation that is old enough to matter, and the same answer ends all cancelled tasks there and
 * keeps out what was launched of them and is still on its way. So no cancelled task outlives the
 * lease that somebody who did not know renewed last (docs/cancellations.md).
 */
final class LeaseRenewal {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseRenewal.class);

  // A line of an answer may take 64 KiB: some 100 bytes for each.
  private static final int MOST_HALTS = 500;
  private static final int MOST_KEPT = 4000;

  /** The token that was shown to a worker to keep launches out, and when. */
  private record Raised(long token, long at) {}

  private final Clock clock;
  private final CommandSender commandSender;
  private final Ledger ledger;
  private final Cancellations cancellations;
  private final Predicate<String> notOverWhenRead;
  private final Map<String, Raised> raised = new BoundedMap<>(MOST_KEPT);

  /**
   * {@code notOverWhenRead} tells of a job that is not in the ledger that it was not over when the
   * records were last read here.
   */
  LeaseRenewal(
      Clock clock,
      CommandSender commandSender,
      Ledger ledger,
      Cancellations cancellations,
      Predicate<String> notOverWhenRead) {
    this.clock = clock;
    this.commandSender = commandSender;
    this.ledger = ledger;
    this.cancellations = cancellations;
    this.notOverWhenRead = notOverWhenRead;
  }

  /**
   * A leader's answer, or null when it may not keep the lease. All its own attempts there count,
   * not only those in the report: one may have been launched since that was sent.
   */
  ObjectNode byLeader(Host host, Report report) {
    if (!cancellations.mayRenew()) {
      return null;
    }
    Map<String, WorkerCommand> halts = new LinkedHashMap<>();
    boolean launchOpen = false;
    for (Attempt attempt : host.attempts()) {
      if (attempt.job().over() && attempt.sent() && !attempt.exited()) {
        add(halts, attempt.key(), attempt.number());
        launchOpen |= attempt.launchOpen();
      }
    }
    for (Report.Task task : report.tasks()) {
      boolean over = cancellations.isKnown(task.ref()) || !ledger.live(task.ref());
      if (task.status() != Report.Status.EXITED && over) {
        add(halts, task.key(), task.attempt());
      }
    }
    if (launchOpen) {
      // The launch is under way: after this answer it is executed no more.
      host.fence++;
    }
    return answer(commandSender.token(host), halts);
  }

  /**
   * The answer of a controller that does not lead, under the worker's own token; null when it may
   * not keep the lease. It must tell of each task whether its job is cancelled: of a job that is on
   * none of its records it cannot, since it may have begun after that job was over, unless it is
   * known that the job was not over when the records were read.
   */
  ObjectNode byOther(Report report) {
    if (!cancellations.mayRenew()) {
      return null;
    }
    Map<String, WorkerCommand> halts = new LinkedHashMap<>();
    for (Report.Task task : report.tasks()) {
      if (task.status() == Report.Status.EXITED) {
        continue;
      }
      if (cancellations.isKnown(task.ref())) {
        add(halts, task.key(), task.attempt());
      } else if (!ledger.live(task.ref()) && !notOverWhenRead.test(task.ref())) {
        LOG.debug("no lease for {}: {} is on no record here", report.host(), task.ref());
        return null;
      }
    }
    for (KnownCancellations.CancelledTask task :
        cancellations.tasksOn(report.host(), report.session())) {
      add(halts, task.location().taskKey(task.ref()), task.location().attempt());
    }
    long token = raisedFor(report);
    return token < 0 ? null : answer(token, halts);
  }

  /**
   * The worker's own token, or one raised above any that a launch on its way can carry, once after
   * each cancellation: when no such launch can be sent any more, and not before.
   */
  private long raisedFor(Report report) {
    Raised last = raised.get(report.host());
    long needed = cancellations.lastLearnedAtMs() + cancellations.launchWindowMs();
    boolean shown = last != null && last.at() > needed && report.token() >= last.token();
    if (shown || clock.now() - cancellations.lastLearnedAtMs() > cancellations.retentionMs()) {
      return report.token();
    }
    long token = FencingToken.raisedByNonLeader(report.token());
    raised.remove(report.host());
    raised.put(report.host(), new Raised(token, clock.now()));
    return token;
  }

  private static void add(Map<String, WorkerCommand> halts, String key, long number) {
    WorkerCommand.Halt halt = new WorkerCommand.Halt(key, number, 0);
    halts.put(halt.id(), halt);
  }

  private static ObjectNode answer(long token, Map<String, WorkerCommand> halts) {
    return halts.size() > MOST_HALTS ? null : WorkerCommand.message(token, halts.values());
  }
}
