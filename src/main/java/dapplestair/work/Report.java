package dapplestair.work;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker's report about its machine.
 *
 * @param session number that rises each time the worker's lease has expired ({@code tenure} on the
 *     wire)
 * @param tick number that rises with every report of a session
 * @param token highest fencing token that the worker has seen ({@code baton} on the wire)
 * @param reclaimInS seconds until the cloud takes the machine back, or NaN without a notice ({@code
 *     recallS} on the wire)
 */
public record Report(
    String host,
    String endpoint,
    String type,
    String zone,
    boolean spot,
    long session,
    long tick,
    long token,
    double reclaimInS,
    List<Task> tasks) {

  /** The state of a task on its machine. */
  public enum Status {
    FETCHING,
    RUNNING,
    FLUSHING,
    EXITED
  }

  /**
   * A task on the machine. {@code cause} is null unless the task has exited; {@code stored} is true
   * when it saved its progress on exit.
   */
  public record Task(String key, long attempt, Status status, String cause, boolean stored) {
    Task(String key, long attempt, Status status) {
      this(key, attempt, status, null, false);
    }

    /** Returns the reference of the task's job. */
    public String jobRef() {
      int slash = key.lastIndexOf('/');
      return slash < 0 ? key : key.substring(0, slash);
    }
  }

  /** Parses a report; returns null when it is malformed. */
  public static Report parse(JsonNode node) {
    String host = Json.text(node, "host");
    String type = Json.text(node, "hull");
    String zone = Json.text(node, "basin");
    String endpoint = Json.text(node, "endpoint");
    long session = Json.number(node, "tenure", -1);
    long tick = Json.number(node, "tick", -1);
    if (host == null
        || type == null
        || zone == null
        || endpoint == null
        || session < 0
        || tick < 0
        || !isAddress(endpoint)
        || !node.path("steps").isArray()) {
      return null;
    }
    List<Task> tasks = new ArrayList<>();
    for (JsonNode taskNode : node.get("steps")) {
      Task task = parseTask(taskNode);
      if (task == null) {
        return null;
      }
      tasks.add(task);
    }
    return new Report(
        host,
        endpoint,
        type,
        zone,
        Json.flag(node, "loaners"),
        session,
        tick,
        Json.number(node, "baton", 0),
        Json.decimal(node, "recallS", Double.NaN),
        tasks);
  }

  private static Task parseTask(JsonNode node) {
    String key = Json.text(node, "step");
    long attempt = Json.number(node, "try", -1);
    String status = Json.text(node, "status");
    if (key == null || attempt < 0 || status == null) {
      return null;
    }
    return switch (status) {
      case "fetching" -> new Task(key, attempt, Status.FETCHING);
      case "running" -> new Task(key, attempt, Status.RUNNING);
      case "flushing" -> new Task(key, attempt, Status.FLUSHING);
      case "exited" -> {
        String cause = Json.text(node, "cause");
        yield new Task(
            key,
            attempt,
            Status.EXITED,
            cause == null ? "stopped" : cause,
            Json.flag(node, "stored"));
      }
      // A task in an unknown state still occupies the machine.
      default -> new Task(key, attempt, Status.RUNNING);
    };
  }

  private static boolean isAddress(String endpoint) {
    int colon = endpoint.lastIndexOf(':');
    if (colon < 1 || endpoint.length() - colon > 6) {
      return false;
    }
    for (int i = colon + 1; i < endpoint.length(); i++) {
      if (!Character.isDigit(endpoint.charAt(i))) {
        return false;
      }
    }
    return colon + 1 < endpoint.length();
  }

  /**
   * Returns true when this report was sent after the one with the given session and tick (PROTOCOL,
   * "tick").
   */
  public boolean isNewerThan(long otherSession, long otherTick) {
    return session() > otherSession || session() == otherSession && tick() > otherTick;
  }
}
