package dapplestair.world;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * Lets a test observe transactions that were applied, and suppresses the answers of some, so that
 * the sender does not learn the outcome although everybody else can read it.
 */
final class CommitInterceptor {
  static final String JOB_KEY_PREFIX = "live/job/";
  static final String ENDED_JOB_KEY_PREFIX = "over/";

  private final EventSimulator sim;

  /** Share of the candidate transactions whose answer is lost. */
  double answerLossProbability;

  /** Selects the candidates: transactions with at least one write that passes this test. */
  Predicate<JsonNode> isLossCandidate = write -> true;

  /** Number of answers lost so far. */
  int lostAnswerCount;

  /** Called with the sender and the body of each transaction that was applied, if set. */
  BiConsumer<String, JsonNode> commitListener;

  /** Called with the sender and the body of each transaction whose answer is lost. */
  BiConsumer<String, JsonNode> answerLostListener = (from, body) -> {};

  // Times until which these callers get no answers to their requests for changes.
  private final Map<String, Long> changesBlockedUntilMs = new HashMap<>();

  CommitInterceptor(EventSimulator sim) {
    this.sim = sim;
  }

  /** Selects puts of keys with this prefix. */
  static Predicate<JsonNode> puts(String prefix) {
    return write -> write.path("put").asText().startsWith(prefix);
  }

  /** Selects removals of keys with this prefix. */
  static Predicate<JsonNode> removes(String prefix) {
    return write -> write.path("remove").asText().startsWith(prefix);
  }

  /** Selects puts that end a job with this status. */
  static Predicate<JsonNode> endsJobAs(String status) {
    return puts(ENDED_JOB_KEY_PREFIX)
        .and(w -> w.path("value").path("status").asText().equals(status));
  }

  /** Returns the reference of the job that a transaction accepts or ends, or null. */
  static String jobRef(JsonNode body) {
    for (JsonNode write : body.path("writes")) {
      String key = key(write);
      if (key.startsWith(ENDED_JOB_KEY_PREFIX) || key.startsWith(JOB_KEY_PREFIX)) {
        return key.substring(key.lastIndexOf('/') + 1);
      }
    }
    return null;
  }

  /** Returns the key that a write puts or removes. */
  static String key(JsonNode write) {
    return write.path(write.has("put") ? "put" : "remove").asText();
  }

  /** Returns true if any write of a transaction meets the condition. */
  static boolean anyWrite(JsonNode body, Predicate<JsonNode> condition) {
    for (JsonNode write : body.path("writes")) {
      if (condition.test(write)) {
        return true;
      }
    }
    return false;
  }

  /** Suppresses the answers to a caller's requests for changes for {@code durationMs}. */
  void blockChanges(String caller, long durationMs) {
    changesBlockedUntilMs.put(caller, sim.now() + durationMs);
  }

  /** Called once for each answer to a request; returns true if its sender must not get it. */
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
