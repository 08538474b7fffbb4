package dapplestair.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Where a calendar stands: its newest cycle that was released, and how the ones before went.
 *
 * @param start of the cycle, time of day in milliseconds; 0 before the first
 * @param by what released it
 * @param at when it was released
 * @param delivered how many deliveries were there then
 * @param past releases before it, the newest first
 */
record Cycle(long start, ReleaseCause by, long at, int delivered, List<PastCycle> past) {
  private static final int MOST_PAST = 16;

  /** What released a cycle. */
  enum ReleaseCause {
    /** All deliveries were there. */
    COMPLETE,
    /** Enough of them, after a while. */
    QUORUM,
    /** The time was over. */
    CUT_OFF,
    /** Nobody led until the next one had begun. */
    MISSED;

    String shown() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  /** How long after its start a cycle was released, and by what. */
  record PastCycle(long start, ReleaseCause by, long lagMs) {}

  static final Cycle NONE = new Cycle(0, ReleaseCause.MISSED, 0, 0, List.of());

  /** The next release. */
  Cycle released(long newStart, ReleaseCause newBy, long newAt, int newDelivered) {
    List<PastCycle> list = new ArrayList<>();
    if (start > 0) {
      list.add(new PastCycle(start, by, at - start));
      list.addAll(past.subList(0, Math.min(past.size(), MOST_PAST - 1)));
    }
    return new Cycle(newStart, newBy, newAt, newDelivered, list);
  }

  /** How long after its start a cycle is usually released: the mean of those on record. */
  double usualLagMs(double otherwise) {
    if (start == 0) {
      return otherwise;
    }
    double sum = at - start;
    for (PastCycle p : past) {
      sum += p.lagMs();
    }
    return sum / (1 + past.size());
  }

  ObjectNode toJson() {
    ObjectNode object =
        Json.object()
            .put("cycle", start)
            .put("by", by.shown())
            .put("at", at)
            .put("delivered", delivered);
    ArrayNode list = object.putArray("past");
    past.forEach(
        p ->
            list.addObject()
                .put("cycle", p.start())
                .put("by", p.by().shown())
                .put("lag_ms", p.lagMs()));
    return object;
  }

  static Cycle parse(JsonNode in) {
    List<PastCycle> past = new ArrayList<>();
    in.path("past")
        .forEach(
            p ->
                past.add(
                    new PastCycle(
                        p.path("cycle").asLong(), by(p.path("by")), p.path("lag_ms").asLong())));
    return new Cycle(
        in.path("cycle").asLong(),
        by(in.path("by")),
        in.path("at").asLong(),
        in.path("delivered").asInt(),
        past);
  }

  private static ReleaseCause by(JsonNode word) {
    for (ReleaseCause by : ReleaseCause.values()) {
      if (by.shown().equals(word.asText())) {
        return by;
      }
    }
    // A later version's: released all the same.
    return ReleaseCause.CUT_OFF;
  }
}
