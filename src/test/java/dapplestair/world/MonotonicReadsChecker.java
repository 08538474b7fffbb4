package dapplestair.world;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Holds each answer to a user, of any controller, against all that users had been answered about
 * that job when the question was asked: no answer may be older. It sees requests and answers on the
 * wire and knows nothing of the product.
 */
final class MonotonicReadsChecker implements SimulatedNetwork.RequestInterceptor {
  private static final String SUBMISSIONS = "/submissions";
  private static final String CANCEL = "/withdraw";

  /** What users have been answered about one job so far. */
  private record Known(boolean accepted, String end) {
    static final Known NOTHING = new Known(false, null);

    boolean done() {
      return "done".equals(end);
    }
  }

  private record Question(
      String ref, String method, boolean cancellation, JsonNode job, Known then) {
    boolean submission() {
      return method.equals("POST") && !cancellation;
    }

    @Override
    public String toString() {
      return (cancellation ? "cancelling " : submission() ? "submitting " : "asking for ") + ref;
    }
  }

  private final SimulatedCluster world;
  private final Map<String, Known> known = new HashMap<>();
  // Jobs that were submitted without a fault.
  private final Set<String> acceptable = new HashSet<>();

  /** Told of a job and its state ("accepted", "done", "aborted") when a user first hears of it. */
  BiConsumer<String, String> firstHeard = (ref, state) -> {};

  /** Answers held against what had been known. */
  int checked;

  MonotonicReadsChecker(SimulatedCluster world) {
    this.world = world;
  }

  @Override
  public Consumer<HttpReply> intercept(
      String from, String method, String path, byte[] body, Consumer<HttpReply> done) {
    if (!from.equals("users") || !path.startsWith(SUBMISSIONS)) {
      return done;
    }
    JsonNode job = Json.parse(body == null ? new byte[0] : body);
    boolean cancellation = path.endsWith(CANCEL);
    String ref =
        path.equals(SUBMISSIONS)
            ? job.path("ref").asText()
            : path.substring(
                SUBMISSIONS.length() + 1, path.length() - (cancellation ? CANCEL.length() : 0));
    Question q =
        new Question(ref, method, cancellation, job, known.getOrDefault(ref, Known.NOTHING));
    if (q.submission() && InvalidJob.faultOf(job, world) == null) {
      acceptable.add(ref);
    }
    return reply -> {
      answered(q, reply);
      done.accept(reply);
    };
  }

  private void answered(Question q, HttpReply reply) {
    checked++;
    if (reply.status() == 200 || reply.status() == 201) {
      told(q, reply.status(), Json.parse(reply.body()).path("status").asText());
    } else if (reply.status() == 404 && (q.then.accepted || q.submission())) {
      world.checker.reportViolation("forgotten: " + q + " gets 404");
    } else if (q.submission() && (reply.status() == 400 || reply.status() == 422)) {
      refused(q, reply.status());
    }
  }

  private void refused(Question q, int status) {
    if (q.then.accepted) {
      world.checker.reportViolation("forgotten: " + q + " again gets " + status);
    }
    InvalidJob.Fault fault = InvalidJob.faultOf(q.job, world);
    if (fault == null || fault.status != status) {
      world.checker.reportViolation(q + " gets " + status + ", expected was " + fault);
    }
  }

  private void told(Question q, int status, String state) {
    if (!acceptable.contains(q.ref)) {
      InvalidJob.Fault fault = q.submission() ? InvalidJob.faultOf(q.job, world) : null;
      world.checker.reportViolation("invented: " + q + " gets " + status + ", fault: " + fault);
    }
    if (q.then.accepted && status == 201) {
      world.checker.reportViolation("went_back: " + q + " again gets 201");
    }
    if (q.then.end != null && !q.then.end.equals(state)) {
      String what = q.cancellation && q.then.done() ? "cancelled though done: " : "went_back: ";
      world.checker.reportViolation(what + q + ", known to be " + q.then.end + ", gets " + state);
    }
    note(q, state.equals("done") || state.equals("aborted") ? state : null);
  }

  private void note(Question q, String end) {
    Known before = known.getOrDefault(q.ref, Known.NOTHING);
    // Both are for ever, so the order of two such answers does not matter.
    if (end != null && before.end != null && !before.end.equals(end)) {
      world.checker.reportViolation("went_back: " + q.ref + " is called both done and aborted");
    }
    known.put(q.ref, new Known(true, before.end != null ? before.end : end));
    if (!before.accepted) {
      firstHeard.accept(q.ref, "accepted");
    }
    if (end != null && before.end == null) {
      firstHeard.accept(q.ref, end);
    }
  }
}
