package dapplestair.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.cancellations.Cancellation;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The records of attempts as the replica shows them, not yet parsed into attempts: a follower needs
 * no more.
 */
final class RawAttemptRecords {
  /** An attempt recorded in a launch batch, and the batch's key. */
  record BatchedAttempt(String batchKey, LaunchBatch.Entry entry) {}

  /** A record and its stamp. */
  record VersionedRecord(JsonNode value, long stamp) {}

  private final Map<String, Int2ObjectOpenHashMap<VersionedRecord>> recordsByJob = new HashMap<>();
  private final Map<String, Long> stampByLaunchBatch = new HashMap<>();
  private final Map<String, List<BatchedAttempt>> batchedAttempts = new HashMap<>();
  private final Map<String, LaunchBatch.JobSummary> summaryByJob = new HashMap<>();

  void put(String ref, int chunk, JsonNode value, long stamp) {
    recordsByJob
        .computeIfAbsent(ref, r -> new Int2ObjectOpenHashMap<>())
        .put(chunk, new VersionedRecord(value, stamp));
  }

  void remove(String ref, int chunk) {
    Int2ObjectOpenHashMap<VersionedRecord> jobRecords = recordsByJob.get(ref);
    if (jobRecords != null) {
      jobRecords.remove(chunk);
      if (jobRecords.isEmpty()) {
        recordsByJob.remove(ref);
      }
    }
  }

  void putLaunchBatch(String key, JsonNode value, long stamp) {
    removeLaunchBatch(key);
    stampByLaunchBatch.put(key, stamp);
    LaunchBatch.readSummaries(value).forEach(b -> summaryByJob.put(b.ref(), b));
    for (LaunchBatch.Entry entry : LaunchBatch.read(value)) {
      batchedAttempts
          .computeIfAbsent(entry.ref(), r -> new ArrayList<>())
          .add(new BatchedAttempt(key, entry));
    }
  }

  void removeLaunchBatch(String key) {
    if (stampByLaunchBatch.remove(key) != null) {
      batchedAttempts
          .values()
          .forEach(list -> list.removeIf(batched -> batched.batchKey().equals(key)));
      batchedAttempts.values().removeIf(List::isEmpty);
      summaryByJob.keySet().retainAll(batchedAttempts.keySet());
    }
  }

  /** Returns the stamps of all launch batches by their keys. */
  Map<String, Long> stampByLaunchBatch() {
    return stampByLaunchBatch;
  }

  /** Returns a job's attempts that launch batches have. */
  List<BatchedAttempt> batchedAttempts(String ref) {
    return batchedAttempts.getOrDefault(ref, List.of());
  }

  /** Returns the summary of a job of one task that only launch batches have, or null. */
  LaunchBatch.JobSummary summaryOf(String ref) {
    return recordsByJob.containsKey(ref) ? null : summaryByJob.get(ref);
  }

  /** Returns the jobs with attempts on record. */
  Set<String> jobRefs() {
    Set<String> refs = new LinkedHashSet<>(recordsByJob.keySet());
    refs.addAll(batchedAttempts.keySet());
    return refs;
  }

  /** Returns a job's records by chunk. */
  Int2ObjectOpenHashMap<VersionedRecord> recordsOf(String ref) {
    return recordsByJob.getOrDefault(ref, new Int2ObjectOpenHashMap<>(0));
  }

  /** Returns the number of completed tasks and the number of tasks with an attempt. */
  int[] taskCounts(String ref) {
    int[] counts = new int[2];
    for (VersionedRecord versionedRecord : recordsOf(ref).values()) {
      counts[0] += Chunk.countDone(versionedRecord.value());
      counts[1] += Chunk.countLive(versionedRecord.value());
    }
    counts[1] += batchedAttempts(ref).size();
    return counts;
  }

  /** Returns where a job's tasks may be, by its own records and by launch batches. */
  List<Cancellation.TaskLocation> taskLocations(String ref) {
    List<Cancellation.TaskLocation> locations = new ArrayList<>();
    recordsOf(ref)
        .values()
        .forEach(
            versionedRecord ->
                Chunk.forEachAttempt(
                    versionedRecord.value(),
                    (step, number, host, zone, session) ->
                        locations.add(new Cancellation.TaskLocation(host, session, step, number))));
    for (BatchedAttempt batched : batchedAttempts(ref)) {
      // Rather too many than too few: a chunk's own record may show that the attempt is gone.
      LaunchBatch.Entry entry = batched.entry();
      locations.add(
          new Cancellation.TaskLocation(
              entry.host(), entry.session(), entry.step(), entry.number()));
    }
    return locations;
  }

  void clear() {
    recordsByJob.clear();
    stampByLaunchBatch.clear();
    batchedAttempts.clear();
    summaryByJob.clear();
  }
}
