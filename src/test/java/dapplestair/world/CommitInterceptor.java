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
  static final String JOB = "live/job/";
  static final String OVER = "over/";

  private final EventSimulator sim;

  /** Share of the chosen transactions whose answer is lost. */
  double lostAnswers;

  /** Which ones are chosen: those with a write that passes. */
  Predicate<JsonNode> lostAnswersOf = write -> true;

  /** Answers lost so far. */
  int lost;

  /** Told of the sender and the body of each transaction that was carried out, if set. */
  BiConsumer<String, JsonNode> carriedOut;

  /** Told of the sender and the body of each one whose answer is lost. */
  BiConsumer<String, JsonNode> answerLost = (from, body) -> {};

  // Until when these callers get no answer to their questions for changes.
  private final Map<String, Long> withoutNews = new HashMap<>();

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
  static Predicate<JsonNode> ends(String status) {
    return puts(OVER).and(w -> w.path("value").path("status").asText().equals(status));
  }

  /** The job that a transaction accepts or ends, or null. */
  static String job(JsonNode body) {
    for (JsonNode write : body.path("writes")) {
      String key = key(write);
      if (key.startsWith(OVER) || key.startsWith(JOB)) {
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
  static boolean any(JsonNode body, Predicate<JsonNode> wanted) {
    for (JsonNode write : body.path("writes")) {
      if (wanted.test(write)) {
        return true;
      }
    }
    return false;
  }

  /** For a while a caller gets no answer to its questions for changes. */
  void withoutNews(String caller, long ms) {
    withoutNews.put(caller, sim.now() + ms);
  }

  /** Called once for each answer to a request. True if its sender must not get it. */
  boolean answerLost(String from, String path, byte[] sent, HttpReply reply) {
    if (path.startsWith("/changes") && sim.now() < withoutNews.getOrDefault(from, 0L)) {
      return true;
    }
    boolean wanted = carriedOut != null || lostAnswers > 0;
    if (!wanted || !path.equals("/commit") || !reply.ok()) {
      return false;
    }
    JsonNode body = Json.parse(sent);
    if (carriedOut != null) {
      carriedOut.accept(from, body);
    }
    if (lostAnswers == 0 || !any(body, lostAnswersOf) || !sim.chance(lostAnswers)) {
      return false;
    }
    lost++;
    answerLost.accept(from, body);
    return true;
  }
}
