package dapplestair.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.work.JobShape;
import dapplestair.work.Rank;
import dapplestair.work.Submission;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Attempts of many jobs recorded by one put. An entry counts until its chunk's own record reaches
 * the entry's number: that record was written later and includes the attempt.
 */
final class LaunchBatch {
  record Entry(String ref, int step, long number, String host, String zone, long session) {}

  // Approximate size of an entry with its names. LaunchBatchTest checks it against the encoding.
  private static final int BYTES_PER_ENTRY = 56;

  final String key;
  long stamp;
  boolean removalInFlight;

  /** Chunks whose own records do not have this launch batch's entries yet. */
  final Set<Chunk> claimingChunks = new LinkedHashSet<>();

  LaunchBatch(String key) {
    this.key = key;
  }

  /** Returns how many entries are sure to fit in a value of so many bytes. */
  static int capacity(int valueBytes) {
    return Math.max(1, valueBytes / BYTES_PER_ENTRY);
  }

  /**
   * The resources of a job of one task. The job may be over long before its launch batch is
   * deleted; the summary then tells a new leader what is left on the job's machine without one read
   * for each job.
   */
  record JobSummary(String ref, String team, double cpus, double gpus, double memoryGb) {
    Submission spec() {
      return new Submission(
          ref,
          "",
          team,
          JobShape.ARRAY,
          Rank.LOW,
          1,
          cpus,
          gpus,
          memoryGb,
          "",
          0,
          null,
          null,
          false,
          false,
          true,
          0,
          0,
          0,
          Double.POSITIVE_INFINITY);
    }
  }

  /**
   * Returns the batch's record, grouped by machine and session so that these names are written
   * once.
   */
  static ObjectNode write(List<Attempt> attempts) {
    List<String> zones = new ArrayList<>();
    ObjectNode byHost = Json.object();
    for (Attempt attempt : attempts) {
      if (!zones.contains(attempt.zone)) {
        zones.add(attempt.zone);
      }
      String hostAndSession = attempt.host + " " + attempt.session;
      ArrayNode hostAttempts = (ArrayNode) byHost.get(hostAndSession);
      if (hostAttempts == null) {
        hostAttempts = byHost.putArray(hostAndSession).add(zones.indexOf(attempt.zone));
      }
      hostAttempts.add(attempt.spec().ref()).add(attempt.step).add(attempt.number);
    }
    ObjectNode object = Json.object();
    writeSummaries(object, attempts);
    ArrayNode array = object.putArray("z");
    zones.forEach(array::add);
    object.set("h", byHost);
    return object;
  }

  private static void writeSummaries(ObjectNode object, List<Attempt> attempts) {
    ObjectNode summaries = Json.object();
    for (Attempt attempt : attempts) {
      Submission submission = attempt.spec();
      if (ChunkWriter.isSingleTask(attempt.job)) {
        summaries
            .putArray(submission.ref())
            .add(submission.team())
            .add(submission.cpus())
            .add(submission.gpus())
            .add(submission.memoryGb());
      }
    }
    if (!summaries.isEmpty()) {
      object.set("j", summaries);
    }
  }

  static List<JobSummary> readSummaries(JsonNode value) {
    List<JobSummary> summaries = new ArrayList<>();
    for (Map.Entry<String, JsonNode> entry : value.path("j").properties()) {
      JsonNode node = entry.getValue();
      summaries.add(
          new JobSummary(
              entry.getKey(),
              node.path(0).asText(),
              node.path(1).asDouble(),
              node.path(2).asDouble(),
              node.path(3).asDouble()));
    }
    return summaries;
  }

  static List<Entry> read(JsonNode value) {
    List<Entry> entries = new ArrayList<>();
    JsonNode zones = value.path("z");
    for (Map.Entry<String, JsonNode> entry : value.path("h").properties()) {
      int space = entry.getKey().lastIndexOf(' ');
      String host = entry.getKey().substring(0, space);
      long session = Long.parseLong(entry.getKey().substring(space + 1));
      JsonNode hostAttempts = entry.getValue();
      String zone = zones.path(hostAttempts.path(0).asInt()).asText();
      for (int i = 1; i + 2 < hostAttempts.size(); i += 3) {
        entries.add(
            new Entry(
                hostAttempts.get(i).asText(),
                hostAttempts.get(i + 1).asInt(),
                hostAttempts.get(i + 2).asLong(),
                host,
                zone,
                session));
      }
    }
    return entries;
  }
}
