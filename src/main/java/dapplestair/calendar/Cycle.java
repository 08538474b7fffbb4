package dapplestair.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The last released cycle of a calendar, with the releases before it.
 *
 * @param startMs start of the cycle in wall-clock milliseconds; 0 before the first release
 * @param cause what released the cycle
 * @param releasedAtMs time of the release in wall-clock milliseconds
 * @param deliveredCount number of deliveries at the time of the release
 * @param past earlier releases, the newest first
 */
record Cycle(
    long startMs, ReleaseCause cause, long releasedAtMs, int deliveredCount, List<PastCycle> past) {
  private static final int MAX_PAST_CYCLES = 16;

  /** What released a cycle. */
  enum ReleaseCause {
    /** All deliveries had arrived. */
    COMPLETE,
    /** A quorum of deliveries had arrived, and the time to wait for more had passed. */
    QUORUM,
    /** The cut-off time had passed. */
    CUT_OFF,
    /** No controller could release the cycle before the next one began. */
    MISSED;

    String label() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  /** An earlier release: what caused it, and how long after the start of its cycle it came. */
  record PastCycle(long startMs, ReleaseCause cause, long lagMs) {}

  static final Cycle NONE = new Cycle(0, ReleaseCause.MISSED, 0, 0, List.of());

  /** Returns this record followed by the release of a newer cycle. */
  Cycle withRelease(
      long newStartMs, ReleaseCause newCause, long newReleasedAtMs, int newDeliveredCount) {
    List<PastCycle> newPast = new ArrayList<>();
    if (startMs > 0) {
      newPast.add(new PastCycle(startMs, cause, releasedAtMs - startMs));
      newPast.addAll(past.subList(0, Math.min(past.size(), MAX_PAST_CYCLES - 1)));
    }
    return new Cycle(newStartMs, newCause, newReleasedAtMs, newDeliveredCount, newPast);
  }

  /**
   * Returns how long after its start a cycle is usually released: the mean of the recorded
   * releases, or {@code defaultMs} before the first.
   */
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

  static Cycle parse(JsonNode node) {
    List<PastCycle> past = new ArrayList<>();
    node.path("past")
        .forEach(
            p ->
                past.add(
                    new PastCycle(
                        p.path("cycle").asLong(),
                        parseCause(p.path("by")),
                        p.path("lag_ms").asLong())));
    return new Cycle(
        node.path("cycle").asLong(),
        parseCause(node.path("by")),
        node.path("at").asLong(),
        node.path("delivered").asInt(),
        past);
  }

  private static ReleaseCause parseCause(JsonNode node) {
    for (ReleaseCause cause : ReleaseCause.values()) {
      if (cause.label().equals(node.asText())) {
        return cause;
      }
    }
    // A later version may write a cause that is unknown here; the cycle is released all the same.
    return ReleaseCause.CUT_OFF;
  }
}
