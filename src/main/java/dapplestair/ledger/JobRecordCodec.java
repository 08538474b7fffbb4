package dapplestair.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.work.Submission;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** How jobs are written in the state service. */
final class JobRecordCodec {
  private static final Logger LOG = LoggerFactory.getLogger(JobRecordCodec.class);

  private JobRecordCodec() {}

  /** A job as accepted at a time of day, its tasks recorded by so many. */
  static ObjectNode acceptedRecord(
      Submission submission, long wallMs, long firstRequestWallMs, int chunkSize) {
    ObjectNode object = Json.object().put("at", wallMs).put("chunk", chunkSize);
    if (firstRequestWallMs < wallMs) {
      object.put("asked", firstRequestWallMs);
    }
    object.set("job", submission.toJson());
    return object;
  }

  /** A job that is over since a time of day. */
  static ObjectNode endedRecord(Job job, String status, long wallMs) {
    ObjectNode object =
        acceptedRecord(job.spec(), job.acceptedWallMs(), job.firstRequestWallMs(), job.chunkSize());
    return object.put("status", status).put("end", wallMs);
  }

  /** For how long a job has been over, milliseconds; 0 if its record does not say since when. */
  static long endedAgoMs(JsonNode value, long wallMs) {
    return Math.max(0, wallMs - Json.number(value, "end", wallMs));
  }

  /** Reads either, or gives null. */
  static Job read(JsonNode value, long stamp, int defaultChunkSize) {
    try {
      long acceptedWallMs = Json.number(value, "at", 0);
      return new Job(
          Submission.parse(value.path("job")),
          acceptedWallMs,
          Json.number(value, "asked", acceptedWallMs),
          (int) Json.number(value, "chunk", defaultChunkSize),
          stamp);
    } catch (Submission.InvalidSubmissionException e) {
      LOG.error("a recorded job cannot be read: {}", e.getMessage());
      return null;
    }
  }
}
