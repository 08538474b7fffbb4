package dapplestair.work;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * What a worker says of its machine.
 *
 * @param session rises each time the worker's lease has run out ({@code tenure} on the wire)
 * @param tick rises with every report of a session
 * @param token highest token the worker has seen ({@code baton})
 * @param reclaimInS seconds until the cloud takes the machine, or NaN
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

  /** State of a task on its machine. */
  public enum Status {
    FETCHING,
    RUNNING,
    FLUSHING,
    EXITED
  }

  /** One task; {@code cause} is null unless it has exited, {@code stored} if it saved then. */
  public record Task(String key, long attempt, Status status, String cause, boolean stored) {
    Task(String key, long attempt, Status status) {
      this(key, attempt, status, null, false);
    }

    /** Its job. */
    public String jobRef() {
      int slash = key.lastIndexOf('/');
      return slash < 0 ? key : key.substring(0, slash);
    }
  }

  /** Reads a report, or gives null when it makes no sense. */
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
      // A state that we do not know of still occupies the machine.
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

  /** True when it was sent after the one of this session and tick (PROTOCOL, "tick"). */
  public boolean isNewerThan(long otherSession, long otherTick) {
    return session() > otherSession || session() == otherSession && tick() > otherTick;
  }
}
