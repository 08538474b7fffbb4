package dapplestair.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;

/**
 * An order to empty a machine or a zone.
 *
 * @param by who gave it
 * @param atWall when, milliseconds of the time of day
 * @param why in their words, possibly empty
 * @param giveBack whether emptied machines are returned to the cloud
 * @param deadlineS seconds after which work that does not save is stopped, 0 for never
 */
public record Drain(String by, long atWall, String why, boolean giveBack, double deadlineS) {
  /** The recorded form. */
  public ObjectNode toJson() {
    return Json.object()
        .put("by", by)
        .put("at", atWall)
        .put("why", why)
        .put("return", giveBack)
        .put("deadlineS", deadlineS);
  }

  /** Reads the recorded form. */
  public static Drain parse(JsonNode node) {
    String by = Json.text(node, "by");
    String why = Json.text(node, "why");
    return new Drain(
        by == null ? "" : by,
        Json.number(node, "at", 0),
        why == null ? "" : why,
        Json.flag(node, "return"),
        Json.decimal(node, "deadlineS", 0));
  }

  /** The moment after which work that does not save is stopped, time of day. */
  long dueWall() {
    return deadlineS > 0 ? atWall + Math.round(1000 * deadlineS) : Long.MAX_VALUE;
  }

  boolean overdue(long nowWall) {
    return nowWall > dueWall();
  }
}
