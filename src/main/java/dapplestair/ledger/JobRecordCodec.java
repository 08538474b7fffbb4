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
      Submission submission, long wall, long askedWall, int chunkSize) {
    ObjectNode object = Json.object().put("at", wall).put("chunk", chunkSize);
    if (askedWall < wall) {
      object.put("asked", askedWall);
    }
    object.set("job", submission.toJson());
    return object;
  }

  /** A job that is over since a time of day. */
  static ObjectNode endedRecord(Job job, String status, long wall) {
    ObjectNode object =
        acceptedRecord(job.spec(), job.acceptedWallMs(), job.firstRequestWallMs(), job.chunkSize());
    return object.put("status", status).put("end", wall);
  }

  /** For how long a job has been over, milliseconds; 0 if its record does not say since when. */
  static long endedAgoMs(JsonNode value, long wall) {
    return Math.max(0, wall - Json.number(value, "end", wall));
  }

  /** Reads either, or gives null. */
  static Job read(JsonNode value, long stamp, int otherwiseChunkSize) {
    try {
      long at = Json.number(value, "at", 0);
      return new Job(
          Submission.parse(value.path("job")),
          at,
          Json.number(value, "asked", at),
          (int) Json.number(value, "chunk", otherwiseChunkSize),
          stamp);
    } catch (Submission.InvalidSubmissionException e) {
      LOG.error("a recorded job cannot be read: {}", e.getMessage());
      return null;
    }
  }
}
