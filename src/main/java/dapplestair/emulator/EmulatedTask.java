package dapplestair.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;

/** One attempt at a task on one machine. An emulated task runs for a time and has no program. */
public final class EmulatedTask {
  private final String key;
  private final long attempt;
  private final JsonNode job;
  String status = "fetching";
  String cause;
  boolean checkpointStored;
  long startedAtMs;

  EmulatedTask(String key, long attempt, JsonNode job) {
    this.key = key;
    this.attempt = attempt;
    this.job = job;
  }

  private int taskIndex() {
    return Integer.parseInt(key.substring(key.indexOf('/') + 1));
  }

  /**
   * Returns the run time that the user estimated, in seconds. A submission may give a factor for
   * each task in {@code runFactors}, so that tasks of one job have different run times by design.
   */
  double estimatedRunS() {
    JsonNode factor = job == null ? null : job.path("runFactors").get(taskIndex());
    return amount("guessS") * (factor == null ? 1 : factor.asDouble());
  }

  /** Returns the job and the task's index, as in the protocol. */
  public String key() {
    return key;
  }

  /** Returns the number of the attempt. */
  public long attempt() {
    return attempt;
  }

  /** Returns true from the time at which the task has its image until it exits. */
  public boolean isOnMachine() {
    return status.equals("running") || status.equals("flushing");
  }

  /** Returns the task's state, as in the protocol. */
  public String status() {
    return status;
  }

  /** Returns the seconds since the task began to run, or 0 if it never did. */
  public double runTimeS(long nowMs) {
    return startedAtMs == 0 ? 0 : (nowMs - startedAtMs) / 1000.0;
  }

  boolean hasExited() {
    return status.equals("exited");
  }

  void exit(String exitCause) {
    status = "exited";
    cause = exitCause;
  }

  String jobRef() {
    return jobRef(key);
  }

  static String jobRef(String key) {
    int slash = key.indexOf('/');
    return slash < 0 ? key : key.substring(0, slash);
  }

  double amount(String field) {
    return job == null ? 0 : Json.decimal(job, field, 0);
  }

  /** Returns true for a task of a service, which runs until it is stopped. */
  public boolean isService() {
    return "daemon".equals(Json.text(job, "shape"));
  }

  /** Returns true if the submission has a mistake that makes this task fail on every machine. */
  boolean failsOnEveryMachine() {
    return taskIndex() < amount("mistakenSteps");
  }

  String image() {
    return Json.text(job, "bundle");
  }

  ObjectNode toJson() {
    ObjectNode object = Json.object().put("step", key).put("try", attempt).put("status", status);
    if (cause != null) {
      object.put("cause", cause);
    }
    if (checkpointStored) {
      object.put("stored", true);
    }
    return object;
  }
}
