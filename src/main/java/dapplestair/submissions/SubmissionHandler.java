package dapplestair.submissions;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.cancellations.Cancellations;
import dapplestair.json.Json;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.machines.MachineTypes;
import dapplestair.metrics.Metrics;
import dapplestair.ports.Clock;
import dapplestair.ports.Exchange;
import dapplestair.settings.Settings;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;
import dapplestair.state.TxnOutcome;
import dapplestair.work.Rank;
import dapplestair.work.Submission;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers users' requests. Confirms nothing before it is known to be in the state service, and
 * answers from memory alone only what can never change.
 */
public final class SubmissionHandler {
  private static final Logger LOG = LoggerFactory.getLogger(SubmissionHandler.class);
  private static final int MAX_PENDING = 400;
  private static final int MIN_PENDING_LOW_RANK = 2;

  private final Clock clock;
  private final Settings settings;
  private final StateClient state;
  private final Replica replica;
  private final Ledger ledger;
  private final MachineTypes types;
  private final Cancellations cancellations;
  private final RequestRelay relay;
  private final Metrics metrics;
  private final long commitTimeoutMs;
  private final RetryAdvice retryAdvice;
  private final UnansweredRequests unanswered;
  private final FirstSubmissionTimes firstSubmissionTimes;
  private final JobFinder finder;
  private int pending;

  /** Creates the handler for users' requests to this controller. */
  public SubmissionHandler(
      Clock clock,
      Settings settings,
      StateClient state,
      Replica replica,
      Ledger ledger,
      MachineTypes types,
      Cancellations cancellations,
      RequestRelay relay,
      Metrics metrics) {
    this.clock = clock;
    this.settings = settings;
    this.state = state;
    this.replica = replica;
    this.ledger = ledger;
    this.types = types;
    this.cancellations = cancellations;
    this.relay = relay;
    this.metrics = metrics;
    this.commitTimeoutMs = settings.workers().reportMs();
    this.finder = new JobFinder(state, replica, ledger);
    this.retryAdvice = new RetryAdvice(clock);
    this.firstSubmissionTimes = new FirstSubmissionTimes(clock);
    this.unanswered = new UnansweredRequests(clock, settings.workers().leaseMs());
  }

  /** Records that a job is over for good: {@code done}, or cancelled. */
  public void recordEnd(String ref, boolean done) {
    finder.recordEnd(ref, done);
  }

  /**
   * Returns for how long requests about a job have remained unanswered here, in milliseconds; the
   * longest of all jobs that users still ask about.
   */
  public long unansweredMs() {
    return unanswered.longestMs();
  }

  /**
   * Relays the request to a peer that the state service serves, if this controller cannot answer it
   * itself. A request about a job that is known to be over is not relayed, since every controller
   * may answer it at any time. Returns true if the request was relayed.
   */
  private boolean relayIfUnserved(Exchange exchange, String ref) {
    boolean isServed = replica.isReady() && types.isLoaded() && state.isReachable();
    return !isServed
        && !finder.isOver(ref)
        && relay.relay(exchange, answer -> replyRelayed(exchange, ref, answer));
  }

  private void replyRelayed(Exchange exchange, String ref, UserRequestCodec.Response response) {
    if (response == null) {
      unanswered.recordUnanswered(ref);
      replyUnavailable(exchange);
      return;
    }
    if (response.status() != 503) {
      unanswered.recordAnswered(ref);
    }
    exchange.reply(response.status(), response.body(), response.retryAfterS());
  }

  // ---- POST /submissions ----

  /** Handles a user's submission. */
  public void submit(Exchange exchange) {
    Submission submission;
    try {
      JsonNode body = Json.parse(exchange.body());
      if (body.isMissingNode()) {
        replyError(exchange, 400, "the body is not JSON");
        return;
      }
      String ref = Json.text(body, "ref");
      if (ref != null && Submission.isValidRef(ref)) {
        // Answers with the state of a known job, whatever the rest of the repeated request says.
        if (finder.isOver(ref)) {
          replyFinal(exchange, 200, ref, finder.isDone(ref));
          return;
        }
        if (relayIfUnserved(exchange, ref)) {
          return;
        }
        if (ledger.isJobActive(ref)) {
          replyJobStatus(exchange, ref);
          return;
        }
      }
      submission = Submission.parse(body);
    } catch (Submission.InvalidSubmissionException e) {
      rejectUnlessKnown(exchange, 400, e.getMessage());
      return;
    }
    if (!replica.isReady() || !types.isLoaded() || !state.isReachable() || pending > MAX_PENDING) {
      deferSubmission(exchange, submission, 1);
      return;
    }
    String infeasibility = infeasibilityReason(submission);
    if (infeasibility != null) {
      rejectUnlessKnown(exchange, 422, infeasibility);
      return;
    }
    if (submission.rank() == Rank.LOW && pending >= maxPendingLowRank()) {
      // Defers large numbers of lowest-rank submissions before other submissions queue behind them.
      deferSubmission(exchange, submission, retryAdvice.retryAfterS(state.maxPutsPerSecond()));
      return;
    }
    commitSubmission(exchange, submission, clock.now() + commitTimeoutMs, clock.now());
  }

  private void deferSubmission(Exchange exchange, Submission submission, int retryAfterS) {
    firstSubmissionTimes.recordDeferred(submission.ref());
    replyUnavailable(exchange, retryAfterS);
  }

  /**
   * Returns how many submissions may be pending for another one of the lowest rank to be taken: as
   * many as this controller can put within a sixteenth of the time that a user waits.
   */
  private int maxPendingLowRank() {
    return (int)
        Math.max(MIN_PENDING_LOW_RANK, state.maxPutsPerSecond() * commitTimeoutMs / 1000 / 16);
  }

  /**
   * Rejects a submission, unless its job is known: a repeated submission of an accepted job is
   * never answered with 400 or 422.
   */
  private void rejectUnlessKnown(Exchange exchange, int status, String reason) {
    LOG.debug(
        "rejecting a submission with status {} unless its job is already known: {}",
        status,
        reason);
    String ref = Json.text(Json.parse(exchange.body()), "ref");
    if (ref == null || !Submission.isValidRef(ref)) {
      replyError(exchange, status, reason);
      return;
    }
    withJob(
        exchange,
        ref,
        () -> replyError(exchange, status, reason),
        found -> replyFound(exchange, 200, ref, found));
  }

  /**
   * Finds a job and continues with {@code onAbsent} or {@code onPresent}. Replies 503 if it cannot
   * be determined now whether the job exists.
   */
  private void withJob(
      Exchange exchange, String ref, Runnable onAbsent, Consumer<JobFinder.Found> onPresent) {
    finder.find(
        ref,
        (known, found) -> {
          if (!known) {
            unanswered.recordUnanswered(ref);
            replyUnavailable(exchange);
            return;
          }
          unanswered.recordAnswered(ref);
          if (found == null) {
            onAbsent.run();
          } else {
            onPresent.accept(found);
          }
        });
  }

  private String infeasibilityReason(Submission submission) {
    Settings.Team team = settings.teams().get(submission.team());
    if (team == null) {
      return "owner: unknown team " + submission.team();
    }
    if (team.cpusMax() > 0
        && submission.cpus() * submission.minSimultaneousTasks() > team.cpusMax() + 1e-6) {
      return "vcpus: more than the team's limit of " + team.cpusMax();
    }
    if (team.gpusMax() > 0
        && submission.gpus() * submission.minSimultaneousTasks() > team.gpusMax() + 1e-6) {
      return "accelerators: more than the team's limit of " + team.gpusMax();
    }
    if (!types.anySuits(submission)) {
      return "no allowed machine type in an allowed zone holds a task of this size";
    }
    return null;
  }

  private void commitSubmission(
      Exchange exchange, Submission submission, long deadlineMs, long receivedAtMs) {
    pending++;
    Txn txn =
        new Txn()
            .when(StateKeys.job(submission.ref()), 0)
            .when(StateKeys.finishedJob(submission.ref()), 0)
            .put(
                StateKeys.job(submission.ref()),
                ledger.acceptedJobRecord(
                    submission, firstSubmissionTimes.firstAttemptMs(submission.ref())));
    state.commit(
        txn,
        Priority.USER,
        Math.max(0, deadlineMs - clock.now()),
        outcome -> {
          pending--;
          if (outcome instanceof TxnOutcome.Applied) {
            firstSubmissionTimes.removeAccepted(submission.ref());
            metrics.recordAcceptance(clock.now() - receivedAtMs);
            replyStatus(exchange, 201, submission.ref(), "queued", null);
          } else if (outcome instanceof TxnOutcome.Conflict) {
            replyJobStatus(exchange, submission.ref());
          } else if (outcome instanceof TxnOutcome.Unknown && clock.now() < deadlineMs) {
            // Retries under the same conditions. If the transaction with the unknown outcome was
            // applied after all, this one conflicts and the job is found; never are both applied.
            commitSubmission(exchange, submission, deadlineMs, receivedAtMs);
          } else {
            deferSubmission(exchange, submission, 1);
          }
        });
  }

  // ---- GET /submissions/{id} ----

  /** Handles a user's request for the state of a job. */
  public void poll(Exchange exchange, String ref) {
    if (!relayIfUnserved(exchange, ref)) {
      replyJobStatus(exchange, ref);
    }
  }

  private void replyJobStatus(Exchange exchange, String ref) {
    withJob(
        exchange,
        ref,
        () -> replyError(exchange, 404, "no such job"),
        found -> replyFound(exchange, 200, ref, found));
  }

  private void replyFound(Exchange exchange, int status, String ref, JobFinder.Found found) {
    if (found.job() == null) {
      replyFinal(exchange, status, ref, found.isDone());
      return;
    }
    int[] counts = ledger.taskCounts(found.job());
    replyStatus(exchange, status, ref, counts[1] > 0 ? "running" : "queued", counts);
  }

  // ---- POST /submissions/{id}/withdraw ----

  /** Handles a user's request to cancel a job. */
  public void cancel(Exchange exchange, String ref) {
    if (!relayIfUnserved(exchange, ref)) {
      findAndCancel(exchange, ref, clock.now() + commitTimeoutMs);
    }
  }

  private void findAndCancel(Exchange exchange, String ref, long deadlineMs) {
    withJob(
        exchange,
        ref,
        () -> replyError(exchange, 404, "no such job"),
        found -> {
          if (found.job() == null) {
            replyFound(exchange, 200, ref, found);
          } else {
            commitCancellation(exchange, found.job(), deadlineMs);
          }
        });
  }

  private void commitCancellation(Exchange exchange, Job job, long deadlineMs) {
    String ref = job.spec().ref();
    ObjectNode value = ledger.endedJobRecord(job, "aborted");
    Txn txn =
        new Txn()
            .when(StateKeys.job(ref), replica.stamp(StateKeys.job(ref)))
            .put(StateKeys.finishedJob(ref), value)
            .remove(StateKeys.job(ref));
    state.commit(
        txn,
        Priority.USER,
        Math.max(0, deadlineMs - clock.now()),
        outcome -> {
          if (outcome instanceof TxnOutcome.Applied) {
            // The locations of the job's tasks are on record by now. The barrier makes sure that
            // this controller has read them before it informs its peers and the user, so that the
            // peers learn all locations. If the barrier fails, the user gets no confirmation yet.
            replica.barrier(passed -> replyCancelled(exchange, ref, passed));
          } else if (outcome instanceof TxnOutcome.Refused || clock.now() >= deadlineMs) {
            replyUnavailable(exchange);
          } else {
            // Looks again: the job is done, cancelled elsewhere, or the outcome is unknown.
            findAndCancel(exchange, ref, deadlineMs);
          }
        });
  }

  private void replyCancelled(Exchange exchange, String ref, boolean passed) {
    if (passed) {
      recordEnd(ref, false);
      replyFinal(exchange, 200, ref, false);
    } else {
      replyUnavailable(exchange);
    }
  }

  /**
   * Replies with a final state. Informs the other controllers of a cancellation before it replies
   * to the user.
   */
  private void replyFinal(Exchange exchange, int status, String ref, boolean done) {
    if (done) {
      replyStatus(exchange, status, ref, "done", null);
    } else {
      cancellations.confirm(ref, () -> replyStatus(exchange, status, ref, "aborted", null));
    }
  }

  private static void replyStatus(
      Exchange exchange, int status, String ref, String state, int[] counts) {
    ObjectNode object = Json.object().put("ref", ref).put("status", state);
    if (counts != null) {
      object.put("done", counts[0]).put("running", counts[1]);
    }
    exchange.reply(status, Json.bytes(object), 0);
  }

  private static void replyError(Exchange exchange, int status, String reason) {
    exchange.reply(status, Json.bytes(Json.object().put("error", reason)), 0);
  }

  private void replyUnavailable(Exchange exchange) {
    replyUnavailable(exchange, 1);
  }

  private void replyUnavailable(Exchange exchange, int retryAfterS) {
    metrics.recordShedRequest();
    exchange.reply(
        503, Json.bytes(Json.object().put("error", "cannot tell now, ask again")), retryAfterS);
  }
}
