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

/** The records of attempts as the replica tells them, unread: a follower needs no more. */
final class RawAttemptRecords {
  /** An attempt and the launch batch that has it. */
  record OnLaunchBatch(String key, LaunchBatch.Entry entry) {}

  /** One record and its stamp. */
  record VersionedRecord(JsonNode value, long stamp) {}

  private final Map<String, Int2ObjectOpenHashMap<VersionedRecord>> rows = new HashMap<>();
  private final Map<String, Long> launchBatches = new HashMap<>();
  private final Map<String, List<OnLaunchBatch>> onLaunchBatches = new HashMap<>();
  private final Map<String, LaunchBatch.JobSummary> briefs = new HashMap<>();

  void put(String ref, int chunk, JsonNode value, long stamp) {
    rows.computeIfAbsent(ref, r -> new Int2ObjectOpenHashMap<>())
        .put(chunk, new VersionedRecord(value, stamp));
  }

  void remove(String ref, int chunk) {
    Int2ObjectOpenHashMap<VersionedRecord> of = rows.get(ref);
    if (of != null) {
      of.remove(chunk);
      if (of.isEmpty()) {
        rows.remove(ref);
      }
    }
  }

  void putLaunchBatch(String key, JsonNode value, long stamp) {
    removeLaunchBatch(key);
    launchBatches.put(key, stamp);
    LaunchBatch.readBriefs(value).forEach(b -> briefs.put(b.ref(), b));
    for (LaunchBatch.Entry entry : LaunchBatch.read(value)) {
      onLaunchBatches
          .computeIfAbsent(entry.ref(), r -> new ArrayList<>())
          .add(new OnLaunchBatch(key, entry));
    }
  }

  void removeLaunchBatch(String key) {
    if (launchBatches.remove(key) != null) {
      onLaunchBatches.values().forEach(list -> list.removeIf(on -> on.key().equals(key)));
      onLaunchBatches.values().removeIf(List::isEmpty);
      briefs.keySet().retainAll(onLaunchBatches.keySet());
    }
  }

  /** All launch batches and their stamps. */
  Map<String, Long> launchBatches() {
    return launchBatches;
  }

  /** What launch batches say of a job. */
  List<OnLaunchBatch> onLaunchBatches(String ref) {
    return onLaunchBatches.getOrDefault(ref, List.of());
  }

  /** What a job of one task takes of which nothing but launch batches speaks, or null. */
  LaunchBatch.JobSummary brief(String ref) {
    return rows.containsKey(ref) ? null : briefs.get(ref);
  }

  /** Jobs with attempts on record. */
  Set<String> refs() {
    Set<String> out = new LinkedHashSet<>(rows.keySet());
    out.addAll(onLaunchBatches.keySet());
    return out;
  }

  /** A job's records by chunk. */
  Int2ObjectOpenHashMap<VersionedRecord> of(String ref) {
    return rows.getOrDefault(ref, new Int2ObjectOpenHashMap<>(0));
  }

  /** Tasks completed and tasks with an attempt. */
  int[] counts(String ref) {
    int[] out = new int[2];
    for (VersionedRecord row : of(ref).values()) {
      out[0] += Chunk.countDone(row.value());
      out[1] += Chunk.countLive(row.value());
    }
    out[1] += onLaunchBatches(ref).size();
    return out;
  }

  /** Where a job's tasks may be by its own records and by launch batches. */
  List<Cancellation.TaskLocation> places(String ref) {
    List<Cancellation.TaskLocation> out = new ArrayList<>();
    of(ref)
        .values()
        .forEach(
            row ->
                Chunk.attempts(
                    row.value(),
                    (step, number, host, zone, session) ->
                        out.add(new Cancellation.TaskLocation(host, session, step, number))));
    for (OnLaunchBatch on : onLaunchBatches(ref)) {
      // Too many rather than too few: a chunk's own record may know better.
      LaunchBatch.Entry entry = on.entry();
      out.add(
          new Cancellation.TaskLocation(
              entry.host(), entry.session(), entry.step(), entry.number()));
    }
    return out;
  }

  void clear() {
    rows.clear();
    launchBatches.clear();
    onLaunchBatches.clear();
    briefs.clear();
  }
}
