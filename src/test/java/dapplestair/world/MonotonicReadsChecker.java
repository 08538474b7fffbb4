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
 * Compares each answer to a user, from any controller, with everything that users had been told
 * about that job when the request was sent: no answer may be older. It observes requests and
 * answers on the wire only, independently of the code under test.
 */
final class MonotonicReadsChecker implements SimulatedNetwork.RequestInterceptor {
  private static final String SUBMISSIONS_PATH = "/submissions";
  private static final String CANCEL_SUFFIX = "/withdraw";

  /** What users have been told about one job so far. */
  private record KnownState(boolean accepted, String finalStatus) {
    static final KnownState NOTHING = new KnownState(false, null);

    boolean isDone() {
      return "done".equals(finalStatus);
    }
  }

  private record UserRequest(
      String ref, String method, boolean isCancellation, JsonNode job, KnownState knownWhenSent) {
    boolean isSubmission() {
      return method.equals("POST") && !isCancellation;
    }

    @Override
    public String toString() {
      return (isCancellation ? "cancelling " : isSubmission() ? "submitting " : "asking for ")
          + ref;
    }
  }

  private final SimulatedCluster cluster;
  private final Map<String, KnownState> knownStates = new HashMap<>();
  // Jobs that were submitted at least once without a fault in the body.
  private final Set<String> validJobs = new HashSet<>();

  /**
   * Called with a job and its status ("accepted", "done", "aborted") when a user is first told of
   * it.
   */
  BiConsumer<String, String> firstReportListener = (ref, state) -> {};

  /** Number of answers compared with what was known. */
  int checkedAnswers;

  MonotonicReadsChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  @Override
  public Consumer<HttpReply> intercept(
      String from, String method, String path, byte[] body, Consumer<HttpReply> done) {
    if (!from.equals("users") || !path.startsWith(SUBMISSIONS_PATH)) {
      return done;
    }
    JsonNode job = Json.parse(body == null ? new byte[0] : body);
    boolean cancellation = path.endsWith(CANCEL_SUFFIX);
    String ref =
        path.equals(SUBMISSIONS_PATH)
            ? job.path("ref").asText()
            : path.substring(
                SUBMISSIONS_PATH.length() + 1,
                path.length() - (cancellation ? CANCEL_SUFFIX.length() : 0));
    UserRequest question =
        new UserRequest(
            ref, method, cancellation, job, knownStates.getOrDefault(ref, KnownState.NOTHING));
    if (question.isSubmission() && InvalidJob.faultOf(job, cluster) == null) {
      validJobs.add(ref);
    }
    return reply -> {
      checkAnswer(question, reply);
      done.accept(reply);
    };
  }

  private void checkAnswer(UserRequest question, HttpReply reply) {
    checkedAnswers++;
    if (reply.status() == 200 || reply.status() == 201) {
      checkStatus(question, reply.status(), Json.parse(reply.body()).path("status").asText());
    } else if (reply.status() == 404
        && (question.knownWhenSent.accepted || question.isSubmission())) {
      cluster.checker.reportViolation("forgotten: " + question + " gets 404");
    } else if (question.isSubmission() && (reply.status() == 400 || reply.status() == 422)) {
      checkRejection(question, reply.status());
    }
  }

  private void checkRejection(UserRequest question, int status) {
    if (question.knownWhenSent.accepted) {
      cluster.checker.reportViolation("forgotten: " + question + " again gets " + status);
    }
    InvalidJob.Fault fault = InvalidJob.faultOf(question.job, cluster);
    if (fault == null || fault.status != status) {
      cluster.checker.reportViolation(question + " gets " + status + ", expected was " + fault);
    }
  }

  private void checkStatus(UserRequest question, int status, String jobStatus) {
    if (!validJobs.contains(question.ref)) {
      InvalidJob.Fault fault =
          question.isSubmission() ? InvalidJob.faultOf(question.job, cluster) : null;
      cluster.checker.reportViolation(
          "invented: " + question + " gets " + status + ", fault: " + fault);
    }
    if (question.knownWhenSent.accepted && status == 201) {
      cluster.checker.reportViolation("went_back: " + question + " again gets 201");
    }
    if (question.knownWhenSent.finalStatus != null
        && !question.knownWhenSent.finalStatus.equals(jobStatus)) {
      String violation =
          question.isCancellation && question.knownWhenSent.isDone()
              ? "cancelled though done: "
              : "went_back: ";
      cluster.checker.reportViolation(
          violation
              + question
              + ", known to be "
              + question.knownWhenSent.finalStatus
              + ", gets "
              + jobStatus);
    }
    recordStatus(
        question, jobStatus.equals("done") || jobStatus.equals("aborted") ? jobStatus : null);
  }

  private void recordStatus(UserRequest question, String finalStatus) {
    KnownState knownBefore = knownStates.getOrDefault(question.ref, KnownState.NOTHING);
    // Both statuses are final, so the order of two such answers does not matter.
    if (finalStatus != null
        && knownBefore.finalStatus != null
        && !knownBefore.finalStatus.equals(finalStatus)) {
      cluster.checker.reportViolation(
          "went_back: " + question.ref + " is reported both as done and as aborted");
    }
    knownStates.put(
        question.ref,
        new KnownState(
            true, knownBefore.finalStatus != null ? knownBefore.finalStatus : finalStatus));
    if (!knownBefore.accepted) {
      firstReportListener.accept(question.ref, "accepted");
    }
    if (finalStatus != null && knownBefore.finalStatus == null) {
      firstReportListener.accept(question.ref, finalStatus);
    }
  }
}
