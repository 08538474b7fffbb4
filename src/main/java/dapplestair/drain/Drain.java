package dapplestair.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;

/**
 * An order to drain a machine or a zone.
 *
 * @param orderedBy operator who gave the order
 * @param orderedAtWallMs wall-clock time of the order
 * @param reason reason given by the operator, possibly empty
 * @param returnToCloud whether drained machines are returned to the cloud
 * @param deadlineS seconds after which work that saves no state is stopped, 0 for never
 */
public record Drain(
    String orderedBy,
    long orderedAtWallMs,
    String reason,
    boolean returnToCloud,
    double deadlineS) {
  /** Returns the recorded form of this order. */
  public ObjectNode toJson() {
    return Json.object()
        .put("by", orderedBy)
        .put("at", orderedAtWallMs)
        .put("why", reason)
        .put("return", returnToCloud)
        .put("deadlineS", deadlineS);
  }

  /** Parses the recorded form of an order. */
  public static Drain parse(JsonNode node) {
    String orderedBy = Json.text(node, "by");
    String reason = Json.text(node, "why");
    return new Drain(
        orderedBy == null ? "" : orderedBy,
        Json.number(node, "at", 0),
        reason == null ? "" : reason,
        Json.flag(node, "return"),
        Json.decimal(node, "deadlineS", 0));
  }

  /** Returns the wall-clock time after which work that saves no state is stopped. */
  long deadlineWallMs() {
    return deadlineS > 0 ? orderedAtWallMs + Math.round(1000 * deadlineS) : Long.MAX_VALUE;
  }

  boolean isOverdue(long nowWallMs) {
    return nowWallMs > deadlineWallMs();
  }
}
