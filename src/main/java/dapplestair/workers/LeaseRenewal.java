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
  private static final int MAX_HALTS_PER_ANSWER = 500;
  private static final int MAX_RAISED_TOKENS = 4000;

  /** The token that was shown to a worker to keep launches out, and when. */
  private record RaisedToken(long token, long raisedAt) {}

  private final Clock clock;
  private final CommandSender commandSender;
  private final Ledger ledger;
  private final Cancellations cancellations;
  private final Predicate<String> wasLiveWhenRead;
  private final Map<String, RaisedToken> raisedTokensByHost = new BoundedMap<>(MAX_RAISED_TOKENS);

  /**
   * {@code wasLiveWhenRead} tells of a job that is not in the ledger that it was not over when the
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
    this.wasLiveWhenRead = notOverWhenRead;
  }

  /**
   * A leader's answer, or null when it may not keep the lease. All its own attempts there count,
   * not only those in the report: one may have been launched since that was sent.
   */
  ObjectNode renewAsLeader(Host host, Report report) {
    if (!cancellations.mayRenew()) {
      return null;
    }
    Map<String, WorkerCommand> halts = new LinkedHashMap<>();
    boolean launchOpen = false;
    for (Attempt attempt : host.attempts()) {
      if (attempt.job().over() && attempt.sent() && !attempt.exited()) {
        addHalt(halts, attempt.key(), attempt.number());
        launchOpen |= attempt.launchOpen();
      }
    }
    for (Report.Task task : report.tasks()) {
      boolean isOver = cancellations.knows(task.jobRef()) || !ledger.live(task.jobRef());
      if (task.status() != Report.Status.EXITED && isOver) {
        addHalt(halts, task.key(), task.attempt());
      }
    }
    if (launchOpen) {
      // The launch is under way: after this answer it is executed no more.
      host.fence++;
    }
    return buildAnswer(commandSender.fencingToken(host), halts);
  }

  /**
   * The answer of a controller that does not lead, under the worker's own token; null when it may
   * not keep the lease. It must tell of each task whether its job is cancelled: of a job that is on
   * none of its records it cannot, since it may have begun after that job was over, unless it is
   * known that the job was not over when the records were read.
   */
  ObjectNode renewAsFollower(Report report) {
    if (!cancellations.mayRenew()) {
      return null;
    }
    Map<String, WorkerCommand> halts = new LinkedHashMap<>();
    for (Report.Task task : report.tasks()) {
      if (task.status() == Report.Status.EXITED) {
        continue;
      }
      if (cancellations.knows(task.jobRef())) {
        addHalt(halts, task.key(), task.attempt());
      } else if (!ledger.live(task.jobRef()) && !wasLiveWhenRead.test(task.jobRef())) {
        LOG.debug("no lease for {}: {} is on no record here", report.host(), task.jobRef());
        return null;
      }
    }
    for (KnownCancellations.CancelledTask cancelled :
        cancellations.on(report.host(), report.session())) {
      addHalt(halts, cancelled.place().key(cancelled.ref()), cancelled.place().number());
    }
    long token = tokenFor(report);
    return token < 0 ? null : buildAnswer(token, halts);
  }

  /**
   * The worker's own token, or one raised above any that a launch on its way can carry, once after
   * each cancellation: when no such launch can be sent any more, and not before.
   */
  private long tokenFor(Report report) {
    RaisedToken lastRaised = raisedTokensByHost.get(report.host());
    long launchesEndAt = cancellations.newestAt() + cancellations.launchMs();
    boolean alreadyShown =
        lastRaised != null
            && lastRaised.raisedAt() > launchesEndAt
            && report.token() >= lastRaised.token();
    if (alreadyShown || clock.now() - cancellations.newestAt() > cancellations.keptMs()) {
      return report.token();
    }
    long token = FencingToken.raisedByOther(report.token());
    raisedTokensByHost.remove(report.host());
    raisedTokensByHost.put(report.host(), new RaisedToken(token, clock.now()));
    return token;
  }

  private static void addHalt(Map<String, WorkerCommand> halts, String key, long number) {
    WorkerCommand.Halt halt = new WorkerCommand.Halt(key, number, 0);
    halts.put(halt.id(), halt);
  }

  private static ObjectNode buildAnswer(long token, Map<String, WorkerCommand> halts) {
    return halts.size() > MAX_HALTS_PER_ANSWER
        ? null
        : WorkerCommand.message(token, halts.values());
  }
}
