package dapplestair.world;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * Transactions that were carried out: a test may watch them, and may lose the answer alone of some,
 * so that their sender does not learn what everybody else can read.
 */
final class CommitInterceptor {
  static final String JOB_KEY_PREFIX = "live/job/";
  static final String ENDED_JOB_KEY_PREFIX = "over/";

  private final EventSimulator sim;

  /** Share of the chosen transactions whose answer is lost. */
  double answerLossProbability;

  /** Which ones are chosen: those with a write that passes. */
  Predicate<JsonNode> isLossCandidate = write -> true;

  /** Answers lost so far. */
  int lostAnswerCount;

  /** Told of the sender and the body of each transaction that was carried out, if set. */
  BiConsumer<String, JsonNode> commitListener;

  /** Told of the sender and the body of each one whose answer is lost. */
  BiConsumer<String, JsonNode> answerLostListener = (from, body) -> {};

  // Until when these callers get no answer to their questions for changes.
  private final Map<String, Long> changesBlockedUntilMs = new HashMap<>();

  CommitInterceptor(EventSimulator sim) {
    this.sim = sim;
  }

  /** Puts under a key that begins so. */
  static Predicate<JsonNode> puts(String prefix) {
    return write -> write.path("put").asText().startsWith(prefix);
  }

  /** Removals of a key that begins so. */
  static Predicate<JsonNode> removes(String prefix) {
    return write -> write.path("remove").asText().startsWith(prefix);
  }

  /** Puts that end a job with this status. */
  static Predicate<JsonNode> endsJobAs(String status) {
    return puts(ENDED_JOB_KEY_PREFIX)
        .and(w -> w.path("value").path("status").asText().equals(status));
  }

  /** The job that a transaction accepts or ends, or null. */
  static String jobRef(JsonNode body) {
    for (JsonNode write : body.path("writes")) {
      String key = key(write);
      if (key.startsWith(ENDED_JOB_KEY_PREFIX) || key.startsWith(JOB_KEY_PREFIX)) {
        return key.substring(key.lastIndexOf('/') + 1);
      }
    }
    return null;
  }

  /** The key that a write puts or removes. */
  static String key(JsonNode write) {
    return write.path(write.has("put") ? "put" : "remove").asText();
  }

  /** True if any write of a transaction passes. */
  static boolean anyWrite(JsonNode body, Predicate<JsonNode> condition) {
    for (JsonNode write : body.path("writes")) {
      if (condition.test(write)) {
        return true;
      }
    }
    return false;
  }

  /** For a while a caller gets no answer to its questions for changes. */
  void blockChanges(String caller, long durationMs) {
    changesBlockedUntilMs.put(caller, sim.now() + durationMs);
  }

  /** Called once for each answer to a request. True if its sender must not get it. */
  boolean losesAnswer(String from, String path, byte[] requestBody, HttpReply reply) {
    if (path.startsWith("/changes") && sim.now() < changesBlockedUntilMs.getOrDefault(from, 0L)) {
      return true;
    }
    boolean observesCommits = commitListener != null || answerLossProbability > 0;
    if (!observesCommits || !path.equals("/commit") || !reply.ok()) {
      return false;
    }
    JsonNode body = Json.parse(requestBody);
    if (commitListener != null) {
      commitListener.accept(from, body);
    }
    if (answerLossProbability == 0
        || !anyWrite(body, isLossCandidate)
        || !sim.chance(answerLossProbability)) {
      return false;
    }
    lostAnswerCount++;
    answerLostListener.accept(from, body);
    return true;
  }
}
