package dapplestair.work;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * A job as described by the user who submitted it.
 *
 * @param shape how its tasks depend on each other
 * @param types allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param together whether all tasks must run in one zone
 * @param apart whether at most half of the tasks, rounded up, may run in one zone
 * @param spot whether it may use machines that the cloud can take back
 * @param deadlineS deadline in seconds from submission, or infinity
 */
public record Submission(
    String ref,
    String jobClass,
    String team,
    JobShape shape,
    Rank rank,
    int taskCount,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean together,
    boolean apart,
    boolean spot,
    double estimatedRuntimeS,
    double saveIntervalS,
    double saveDurationS,
    double deadlineS) {

  private static final int MAX_TASKS = 100_000;

  /** Thrown when the body of a submission is invalid; the message names the field. */
  public static final class InvalidSubmissionException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidSubmissionException(String message) {
      super(message, null, false, false);
    }
  }

  /** Returns true when its tasks run until it is cancelled. */
  public boolean isService() {
    return shape == JobShape.SERVICE;
  }

  /** Returns true when none of its tasks is of use before all of them run. */
  public boolean isGang() {
    return shape == JobShape.GANG;
  }

  /** Returns how many of its tasks must have capacity at the same time for the job to be of use. */
  public int minSimultaneousTasks() {
    return shape == JobShape.ARRAY ? 1 : taskCount;
  }

  /** Returns the maximum number of tasks that may run in one zone. */
  public int maxTasksPerZone() {
    return apart ? (taskCount + 1) / 2 : taskCount;
  }

  /** Returns true when a stopped task can keep its progress. */
  public boolean savesProgress() {
    return saveIntervalS > 0;
  }

  /** Parses and validates the body of a user's request. */
  public static Submission parse(JsonNode body) throws InvalidSubmissionException {
    if (!body.isObject()) {
      throw new InvalidSubmissionException("the body is not a JSON object");
    }
    String ref = requiredText(body, "ref");
    if (!isValidRef(ref)) {
      throw new InvalidSubmissionException("ref: not a job id");
    }
    JobShape shape = JobShape.fromWire(requiredText(body, "shape"));
    if (shape == null) {
      throw new InvalidSubmissionException("shape: must be sweep, gang or daemon");
    }
    Rank rank = Rank.fromWire(requiredText(body, "rank"));
    if (rank == null) {
      throw new InvalidSubmissionException("rank: must be critical, high, standard or low");
    }
    JsonNode taskCount = body.path("steps");
    if (!taskCount.isIntegralNumber()
        || !taskCount.canConvertToInt()
        || taskCount.intValue() < 1
        || taskCount.intValue() > MAX_TASKS) {
      throw new InvalidSubmissionException("steps: must be a whole number from 1 to " + MAX_TASKS);
    }
    double cpus = amount(body, "vcpus");
    double memoryGb = amount(body, "memoryGb");
    if (cpus <= 0) {
      throw new InvalidSubmissionException("vcpus: must be above 0");
    }
    JsonNode deadline = body.path("dueS");
    return new Submission(
        ref,
        requiredText(body, "jobclass"),
        requiredText(body, "owner"),
        shape,
        rank,
        taskCount.intValue(),
        cpus,
        amount(body, "accelerators"),
        memoryGb,
        requiredText(body, "bundle"),
        amount(body, "imageGb"),
        parseTypes(body.path("hulls")),
        optionalText(body, "basin"),
        flag(body, "together"),
        flag(body, "apart"),
        flag(body, "loaners"),
        amount(body, "guessS"),
        amount(body, "snapshotEveryS"),
        amount(body, "snapshotS"),
        deadline.isNull() || deadline.isMissingNode()
            ? Double.POSITIVE_INFINITY
            : amount(body, "dueS"));
  }

  /** Returns true when the text has the form of a job id. */
  public static boolean isValidRef(String ref) {
    int dash = ref.indexOf('-');
    if (dash < 1 || dash > 32 || dash + 1 >= ref.length() || ref.length() - dash > 20) {
      return false;
    }
    for (int i = 0; i < ref.length(); i++) {
      char character = ref.charAt(i);
      boolean isDigit = character >= '0' && character <= '9';
      boolean isLetter =
          (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
      if (i < dash ? !(isDigit || isLetter) : i > dash && !isDigit) {
        return false;
      }
    }
    return true;
  }

  /** Returns the form that is stored in the state service, which {@link #parse} reads back. */
  public ObjectNode toJson() {
    ObjectNode object =
        Json.object()
            .put("ref", ref)
            .put("jobclass", jobClass)
            .put("owner", team)
            .put("shape", shape.wireName())
            .put("rank", rank.wireName())
            .put("steps", taskCount)
            .put("vcpus", cpus)
            .put("accelerators", gpus)
            .put("memoryGb", memoryGb)
            .put("bundle", image)
            .put("imageGb", imageGb);
    if (types != null) {
      types.forEach(object.putArray("hulls")::add);
    }
    if (zone != null) {
      object.put("basin", zone);
    }
    object
        .put("together", together)
        .put("apart", apart)
        .put("loaners", spot)
        .put("guessS", estimatedRuntimeS)
        .put("snapshotEveryS", saveIntervalS)
        .put("snapshotS", saveDurationS);
    if (Double.isFinite(deadlineS)) {
      object.put("dueS", deadlineS);
    }
    return object;
  }

  private static List<String> parseTypes(JsonNode node) throws InvalidSubmissionException {
    if (node.isNull() || node.isMissingNode()) {
      return null;
    }
    List<String> names = new ArrayList<>();
    if (node.isArray()) {
      for (JsonNode name : node) {
        if (!name.isTextual()) {
          throw new InvalidSubmissionException("hulls: must hold names");
        }
        names.add(name.textValue());
      }
      return List.copyOf(names);
    }
    throw new InvalidSubmissionException("hulls: must be an array or null");
  }

  private static String requiredText(JsonNode body, String field)
      throws InvalidSubmissionException {
    String value = optionalText(body, field);
    if (value == null || value.isEmpty()) {
      throw new InvalidSubmissionException(field + ": missing");
    }
    return value;
  }

  private static String optionalText(JsonNode body, String field)
      throws InvalidSubmissionException {
    JsonNode node = body.path(field);
    if (node.isNull() || node.isMissingNode()) {
      return null;
    }
    if (!node.isTextual() || node.textValue().length() > 200) {
      throw new InvalidSubmissionException(field + ": must be a text of at most 200 characters");
    }
    return node.textValue();
  }

  private static double amount(JsonNode body, String field) throws InvalidSubmissionException {
    JsonNode node = body.path(field);
    if (node.isNull() || node.isMissingNode()) {
      throw new InvalidSubmissionException(field + ": missing");
    }
    double value = node.isNumber() ? node.doubleValue() : Double.NaN;
    if (!Double.isFinite(value) || value < 0 || value > 1e9) {
      throw new InvalidSubmissionException(field + ": must be a number from 0 to 1e9");
    }
    return value;
  }

  private static boolean flag(JsonNode body, String field) throws InvalidSubmissionException {
    JsonNode node = body.path(field);
    if (!node.isBoolean()) {
      throw new InvalidSubmissionException(field + ": must be true or false");
    }
    return node.booleanValue();
  }

  /** Returns how many of its tasks fit into the given free resources. */
  public int fittingTasks(double cpusFree, double memoryGbFree, double gpusFree) {
    double count = Math.min(cpusFree / cpus(), memoryGbFree / Math.max(1e-9, memoryGb()));
    if (gpus() > 0) {
      count = Math.min(count, gpusFree / gpus());
    }
    return (int) Math.max(0, Math.floor(count + 1e-9));
  }
}
