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
 * Builds the answers that renew a worker's lease. A controller renews a lease only if it knows of
 * every cancellation that is old enough to matter. The same answer stops all cancelled tasks on the
 * machine, and fences off launches of them that are still in transit. So no cancelled task outlives
 * the last lease that was renewed by a controller without knowledge of the cancellation
 * (docs/cancellations.md).
 */
final class LeaseRenewal {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseRenewal.class);

  // A line of an answer may take 64 KiB, and each halt takes about 100 bytes.
  private static final int MAX_HALTS_PER_ANSWER = 500;
  private static final int MAX_RAISED_TOKENS = 4000;

  /** The token that was sent to a worker to fence off launches, and when it was sent. */
  private record RaisedToken(long token, long raisedAt) {}

  private final Clock clock;
  private final CommandSender commandSender;
  private final Ledger ledger;
  private final Cancellations cancellations;
  private final Predicate<String> wasLiveWhenRead;
  private final Map<String, RaisedToken> raisedTokensByHost = new BoundedMap<>(MAX_RAISED_TOKENS);

  /**
   * Creates a lease renewal; {@code wasLiveWhenRead} returns true for a job that is not in the
   * ledger, but was not over when the records were last read here.
   */
  LeaseRenewal(
      Clock clock,
      CommandSender commandSender,
      Ledger ledger,
      Cancellations cancellations,
      Predicate<String> wasLiveWhenRead) {
    this.clock = clock;
    this.commandSender = commandSender;
    this.ledger = ledger;
    this.cancellations = cancellations;
    this.wasLiveWhenRead = wasLiveWhenRead;
  }

  /**
   * Returns the leader's answer, or null when it may not renew the lease. All of the leader's
   * attempts on the machine are checked, not only those in the report: an attempt may have been
   * launched after the report was sent.
   */
  ObjectNode renewAsLeader(Host host, Report report) {
    if (!cancellations.mayRenew()) {
      return null;
    }
    Map<String, WorkerCommand> halts = new LinkedHashMap<>();
    boolean hasOpenLaunch = false;
    for (Attempt attempt : host.attempts()) {
      if (attempt.job().isOver() && attempt.isSent() && !attempt.exited()) {
        addHalt(halts, attempt.key(), attempt.number());
        hasOpenLaunch |= attempt.isLaunchOpen();
      }
    }
    for (Report.Task task : report.tasks()) {
      boolean isOver = cancellations.isKnown(task.jobRef()) || !ledger.isJobActive(task.jobRef());
      if (task.status() != Report.Status.EXITED && isOver) {
        addHalt(halts, task.key(), task.attempt());
      }
    }
    if (hasOpenLaunch) {
      // The launch may still be in transit. The token of this answer is higher, so the launch is
      // not executed after it.
      host.fence++;
    }
    return buildAnswer(commandSender.fencingToken(host), halts);
  }

  /**
   * Returns the answer of a controller that doesn't lead, under the worker's own token, or null
   * when it may not renew the lease. The controller must know for each task whether its job is
   * cancelled. It cannot know that of a job that is in none of its records, since this process may
   * have started after the job was over, unless the job is known not to have been over when the
   * records were read.
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
      if (cancellations.isKnown(task.jobRef())) {
        addHalt(halts, task.key(), task.attempt());
      } else if (!ledger.isJobActive(task.jobRef()) && !wasLiveWhenRead.test(task.jobRef())) {
        LOG.debug(
            "not renewing the lease of {}: job {} is in none of the records here",
            report.host(),
            task.jobRef());
        return null;
      }
    }
    for (KnownCancellations.CancelledTask cancelled :
        cancellations.tasksOn(report.host(), report.session())) {
      addHalt(halts, cancelled.location().taskKey(cancelled.ref()), cancelled.location().attempt());
    }
    long token = tokenFor(report);
    return token < 0 ? null : buildAnswer(token, halts);
  }

  /**
   * Returns the worker's own token, or one that is higher than that of any launch in transit. After
   * a cancellation the token is raised in each answer, until the worker shows a token that was
   * raised when launches of the cancelled job could no longer be sent.
   */
  private long tokenFor(Report report) {
    RaisedToken lastRaised = raisedTokensByHost.get(report.host());
    long launchesEndAt = cancellations.lastLearnedAtMs() + cancellations.launchWindowMs();
    boolean alreadyShown =
        lastRaised != null
            && lastRaised.raisedAt() > launchesEndAt
            && report.token() >= lastRaised.token();
    if (alreadyShown
        || clock.now() - cancellations.lastLearnedAtMs() > cancellations.retentionMs()) {
      return report.token();
    }
    long token = FencingToken.raisedByNonLeader(report.token());
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
