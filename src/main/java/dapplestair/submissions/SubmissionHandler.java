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
 * Answers users. Nothing is confirmed before it is known to be in the state service, and nothing is
 * told from memory alone unless it can never change.
 */
public final class SubmissionHandler {
  private static final Logger LOG = LoggerFactory.getLogger(SubmissionHandler.class);
  private static final int MOST_PENDING = 400;
  private static final int LEAST_PENDING_LOW = 2;

  private final Clock clock;
  private final Settings settings;
  private final StateClient state;
  private final Replica replica;
  private final Ledger ledger;
  private final MachineTypes types;
  private final Cancellations cancellations;
  private final RequestRelay relay;
  private final Metrics metrics;
  private final long patienceMs;
  private final RetryAdvice retryAdvice;
  private final UnansweredRequests unanswered;
  private final FirstSubmissionTimes firstSubmissionTimes;
  private final JobFinder finder;
  private int pending;

  /** Serves users of this controller. */
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
    this.patienceMs = settings.workers().reportMs();
    this.finder = new JobFinder(state, replica, ledger);
    this.retryAdvice = new RetryAdvice(clock);
    this.firstSubmissionTimes = new FirstSubmissionTimes(clock);
    this.unanswered = new UnansweredRequests(clock, settings.workers().leaseMs());
  }

  /** A job is over for good; {@code done} or cancelled. */
  public void ended(String ref, boolean done) {
    finder.ended(ref, done);
  }

  /** For how long a job that users still ask about has had no answer here, milliseconds. */
  public long unansweredMs() {
    return unanswered.longestMs();
  }

  /**
   * Has a served peer answer while this controller cannot, unless the job is known to be over,
   * which any controller may say at any time.
   */
  private boolean passedOn(Exchange exchange, String ref) {
    boolean served = replica.isReady() && types.isLoaded() && state.isReachable();
    return !served
        && !finder.over(ref)
        && relay.pass(exchange, answer -> relayed(exchange, ref, answer));
  }

  private void relayed(Exchange exchange, String ref, UserRequestCodec.Response response) {
    if (response == null) {
      unanswered.inVain(ref);
      busy(exchange);
      return;
    }
    if (response.status() != 503) {
      unanswered.answered(ref);
    }
    exchange.reply(response.status(), response.body(), response.retryAfterS());
  }

  // ---- POST /submissions ----

  /** A user submits. */
  public void submit(Exchange exchange) {
    Submission submission;
    try {
      JsonNode body = Json.parse(exchange.body());
      if (body.isMissingNode()) {
        error(exchange, 400, "the body is not JSON");
        return;
      }
      String ref = Json.text(body, "ref");
      if (ref != null && Submission.validRef(ref)) {
        // A known job is answered with its state, whatever else the retry holds.
        if (finder.over(ref)) {
          over(exchange, 200, ref, finder.done(ref));
          return;
        }
        if (passedOn(exchange, ref)) {
          return;
        }
        if (ledger.isJobActive(ref)) {
          look(exchange, ref);
          return;
        }
      }
      submission = Submission.parse(body);
    } catch (Submission.InvalidSubmissionException e) {
      refuseUnlessKnown(exchange, 400, e.getMessage());
      return;
    }
    if (!replica.isReady() || !types.isLoaded() || !state.isReachable() || pending > MOST_PENDING) {
      turnAway(exchange, submission, 1);
      return;
    }
    String impossible = impossible(submission);
    if (impossible != null) {
      refuseUnlessKnown(exchange, 422, impossible);
      return;
    }
    if (submission.rank() == Rank.LOW && pending >= mostPendingLow()) {
      // A swarm of the lowest rank is put off before anybody else waits behind it.
      turnAway(exchange, submission, retryAdvice.retryAfterS(state.maxPutsPerSecond()));
      return;
    }
    accept(exchange, submission, clock.now() + patienceMs, clock.now());
  }

  private void turnAway(Exchange exchange, Submission submission, int afterS) {
    firstSubmissionTimes.turnedAway(submission.ref());
    busy(exchange, afterS);
  }

  /** As many as this controller's puts take within a small part of what a user waits. */
  private int mostPendingLow() {
    return (int) Math.max(LEAST_PENDING_LOW, state.maxPutsPerSecond() * patienceMs / 1000 / 16);
  }

  /** A repeated submission of an accepted job is never told 400 or 422. */
  private void refuseUnlessKnown(Exchange exchange, int status, String why) {
    LOG.debug("{}: {}", status, why);
    String ref = Json.text(Json.parse(exchange.body()), "ref");
    if (ref == null || !Submission.validRef(ref)) {
      error(exchange, status, why);
      return;
    }
    tell(
        exchange,
        ref,
        () -> error(exchange, status, why),
        found -> answer(exchange, 200, ref, found));
  }

  /** Finds a job and goes on as it turns out; 503 when that cannot be told now. */
  private void tell(
      Exchange exchange, String ref, Runnable absent, Consumer<JobFinder.Found> present) {
    finder.find(
        ref,
        (known, found) -> {
          if (!known) {
            unanswered.inVain(ref);
            busy(exchange);
            return;
          }
          unanswered.answered(ref);
          if (found == null) {
            absent.run();
          } else {
            present.accept(found);
          }
        });
  }

  private String impossible(Submission submission) {
    Settings.Team team = settings.teams().get(submission.team());
    if (team == null) {
      return "owner: unknown team " + submission.team();
    }
    if (team.cpusMax() > 0 && submission.cpus() * submission.atOnce() > team.cpusMax() + 1e-6) {
      return "vcpus: more than the team's limit of " + team.cpusMax();
    }
    if (team.gpusMax() > 0 && submission.gpus() * submission.atOnce() > team.gpusMax() + 1e-6) {
      return "accelerators: more than the team's limit of " + team.gpusMax();
    }
    if (!types.anySuits(submission)) {
      return "no allowed machine type in an allowed zone holds a task of this size";
    }
    return null;
  }

  private void accept(Exchange exchange, Submission submission, long deadline, long began) {
    pending++;
    Txn txn =
        new Txn()
            .when(StateKeys.job(submission.ref()), 0)
            .when(StateKeys.finishedJob(submission.ref()), 0)
            .put(
                StateKeys.job(submission.ref()),
                ledger.acceptedJobRecord(submission, firstSubmissionTimes.at(submission.ref())));
    state.commit(
        txn,
        Priority.USER,
        Math.max(0, deadline - clock.now()),
        outcome -> {
          pending--;
          if (outcome instanceof TxnOutcome.Applied) {
            firstSubmissionTimes.accepted(submission.ref());
            metrics.recordAcceptance(clock.now() - began);
            status(exchange, 201, submission.ref(), "queued", null);
          } else if (outcome instanceof TxnOutcome.Conflict) {
            look(exchange, submission.ref());
          } else if (outcome instanceof TxnOutcome.Unknown && clock.now() < deadline) {
            // The same conditions again: if the lost one was applied after all, this one is
            // refused and the job is found; both can never be.
            accept(exchange, submission, deadline, began);
          } else {
            turnAway(exchange, submission, 1);
          }
        });
  }

  // ---- GET /submissions/{id} ----

  /** A user polls. */
  public void poll(Exchange exchange, String ref) {
    if (!passedOn(exchange, ref)) {
      look(exchange, ref);
    }
  }

  private void look(Exchange exchange, String ref) {
    tell(
        exchange,
        ref,
        () -> error(exchange, 404, "no such job"),
        found -> answer(exchange, 200, ref, found));
  }

  private void answer(Exchange exchange, int status, String ref, JobFinder.Found found) {
    if (found.job() == null) {
      over(exchange, status, ref, found.done());
      return;
    }
    int[] counts = ledger.taskCounts(found.job());
    status(exchange, status, ref, counts[1] > 0 ? "running" : "queued", counts);
  }

  // ---- POST /submissions/{id}/withdraw ----

  /** A user cancels. */
  public void cancel(Exchange exchange, String ref) {
    if (!passedOn(exchange, ref)) {
      cancel(exchange, ref, clock.now() + patienceMs);
    }
  }

  private void cancel(Exchange exchange, String ref, long deadline) {
    tell(
        exchange,
        ref,
        () -> error(exchange, 404, "no such job"),
        found -> {
          if (found.job() == null) {
            answer(exchange, 200, ref, found);
          } else {
            abort(exchange, found.job(), deadline);
          }
        });
  }

  private void abort(Exchange exchange, Job job, long deadline) {
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
        Math.max(0, deadline - clock.now()),
        outcome -> {
          if (outcome instanceof TxnOutcome.Applied) {
            // Where its tasks are is on record by now, and whoever tells the user has read it: what
            // is told to the others is all there is. If that fails the user is told nothing yet.
            replica.barrier(passed -> cancelled(exchange, ref, passed));
          } else if (outcome instanceof TxnOutcome.Refused || clock.now() >= deadline) {
            busy(exchange);
          } else {
            // Done meanwhile, cancelled elsewhere, or unanswered: look again.
            cancel(exchange, ref, deadline);
          }
        });
  }

  private void cancelled(Exchange exchange, String ref, boolean passed) {
    if (passed) {
      ended(ref, false);
      over(exchange, 200, ref, false);
    } else {
      busy(exchange);
    }
  }

  /** A final state. That a job is cancelled is told to the other controllers before its user. */
  private void over(Exchange exchange, int status, String ref, boolean done) {
    if (done) {
      status(exchange, status, ref, "done", null);
    } else {
      cancellations.confirm(ref, () -> status(exchange, status, ref, "aborted", null));
    }
  }

  private static void status(Exchange exchange, int status, String ref, String word, int[] counts) {
    ObjectNode object = Json.object().put("ref", ref).put("status", word);
    if (counts != null) {
      object.put("done", counts[0]).put("running", counts[1]);
    }
    exchange.reply(status, Json.bytes(object), 0);
  }

  private static void error(Exchange exchange, int status, String why) {
    exchange.reply(status, Json.bytes(Json.object().put("error", why)), 0);
  }

  private void busy(Exchange exchange) {
    busy(exchange, 1);
  }

  private void busy(Exchange exchange, int afterS) {
    metrics.recordShedRequest();
    exchange.reply(
        503, Json.bytes(Json.object().put("error", "cannot tell now, ask again")), afterS);
  }
}
