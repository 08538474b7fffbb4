package dapplestair.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.work.Submission;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Encodes and decodes the records of jobs in the state service. */
final class JobRecordCodec {
  private static final Logger LOG = LoggerFactory.getLogger(JobRecordCodec.class);

  private JobRecordCodec() {}

  /**
   * Returns the record of a job accepted at a time of day, whose tasks are recorded in chunks of
   * {@code chunkSize}.
   */
  static ObjectNode acceptedRecord(
      Submission submission, long wallMs, long firstRequestWallMs, int chunkSize) {
    ObjectNode object = Json.object().put("at", wallMs).put("chunk", chunkSize);
    if (firstRequestWallMs < wallMs) {
      object.put("asked", firstRequestWallMs);
    }
    object.set("job", submission.toJson());
    return object;
  }

  /** Returns the record of a job that ended at a time of day with this status. */
  static ObjectNode endedRecord(Job job, String status, long wallMs) {
    ObjectNode object =
        acceptedRecord(job.spec(), job.acceptedWallMs(), job.firstRequestWallMs(), job.chunkSize());
    return object.put("status", status).put("end", wallMs);
  }

  /** Returns for how many milliseconds a job has been over; 0 if its record has no time of end. */
  static long endedAgoMs(JsonNode value, long wallMs) {
    return Math.max(0, wallMs - Json.number(value, "end", wallMs));
  }

  /** Reads a job from either form of its record. Returns null if the record is invalid. */
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
      LOG.error("a job's record cannot be read, so no job is built from it: {}", e.getMessage());
      return null;
    }
  }
}
