package dapplestair.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The records of attempts as the replica tells them, unread: a follower needs no more. */
final class Recorded {
  /** One record and its stamp. */
  record Row(JsonNode value, long stamp) {}

  private final Map<String, Int2ObjectOpenHashMap<Row>> rows = new HashMap<>();

  void put(String ref, int chunk, JsonNode value, long stamp) {
    rows.computeIfAbsent(ref, r -> new Int2ObjectOpenHashMap<>()).put(chunk, new Row(value, stamp));
  }

  void remove(String ref, int chunk) {
    Int2ObjectOpenHashMap<Row> of = rows.get(ref);
    if (of != null) {
      of.remove(chunk);
      if (of.isEmpty()) {
        rows.remove(ref);
      }
    }
  }

  List<String> refs() {
    return List.copyOf(rows.keySet());
  }

  /** A job's records by chunk. */
  Int2ObjectOpenHashMap<Row> of(String ref) {
    return rows.getOrDefault(ref, new Int2ObjectOpenHashMap<>(0));
  }

  /** Tasks completed and tasks with an attempt. */
  int[] counts(String ref) {
    int[] out = new int[2];
    for (Row r : of(ref).values()) {
      out[0] += Chunk.countDone(r.value());
      out[1] += Chunk.countLive(r.value());
    }
    return out;
  }

  void clear() {
    rows.clear();
  }
}
