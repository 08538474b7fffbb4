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
 * @param startMs of the cycle, time of day in milliseconds; 0 before the first
 * @param cause what released it
 * @param releasedAtMs when it was released
 * @param deliveredCount how many deliveries were there then
 * @param past releases before it, the newest first
 */
record Cycle(
    long startMs, ReleaseCause cause, long releasedAtMs, int deliveredCount, List<PastCycle> past) {
  private static final int MAX_PAST_CYCLES = 16;

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

    String label() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  /** How long after its start a cycle was released, and by what. */
  record PastCycle(long startMs, ReleaseCause cause, long lagMs) {}

  static final Cycle NONE = new Cycle(0, ReleaseCause.MISSED, 0, 0, List.of());

  /** The next release. */
  Cycle withRelease(long newStart, ReleaseCause newCause, long newAt, int newDelivered) {
    List<PastCycle> newPast = new ArrayList<>();
    if (startMs > 0) {
      newPast.add(new PastCycle(startMs, cause, releasedAtMs - startMs));
      newPast.addAll(past.subList(0, Math.min(past.size(), MAX_PAST_CYCLES - 1)));
    }
    return new Cycle(newStart, newCause, newAt, newDelivered, newPast);
  }

  /** How long after its start a cycle is usually released: the mean of those on record. */
  double usualLagMs(double defaultMs) {
    if (startMs == 0) {
      return defaultMs;
    }
    double sum = releasedAtMs - startMs;
    for (PastCycle p : past) {
      sum += p.lagMs();
    }
    return sum / (1 + past.size());
  }

  ObjectNode toJson() {
    ObjectNode object =
        Json.object()
            .put("cycle", startMs)
            .put("by", cause.label())
            .put("at", releasedAtMs)
            .put("delivered", deliveredCount);
    ArrayNode list = object.putArray("past");
    past.forEach(
        p ->
            list.addObject()
                .put("cycle", p.startMs())
                .put("by", p.cause().label())
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
                        p.path("cycle").asLong(),
                        parseCause(p.path("by")),
                        p.path("lag_ms").asLong())));
    return new Cycle(
        in.path("cycle").asLong(),
        parseCause(in.path("by")),
        in.path("at").asLong(),
        in.path("delivered").asInt(),
        past);
  }

  private static ReleaseCause parseCause(JsonNode word) {
    for (ReleaseCause cause : ReleaseCause.values()) {
      if (cause.label().equals(word.asText())) {
        return cause;
      }
    }
    // A later version's: released all the same.
    return ReleaseCause.CUT_OFF;
  }
}
