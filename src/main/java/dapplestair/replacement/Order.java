package dapplestair.replacement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;

/**
 * An order to replace machines.
 *
 * @param by who gave it
 * @param atWall when, time of day; what was rented before is old
 * @param why in their words, possibly empty
 * @param selection which machines
 * @param total how many they were then
 * @param step most machines replaced at a time
 * @param stepRatio the ratio to all that it was given as, or 0
 * @param beyond most new machines that may be up beyond the old ones
 * @param watchS how long a step is watched before the next one
 * @param deadlineS seconds into a step after which work that does not save is stopped as far as its
 *     team's budget allows; 0 to wait for its end
 * @param slower how much slower than the old the new machines may be, a ratio
 */
public record Order(
    String by,
    long atWall,
    String why,
    Selection selection,
    int total,
    int step,
    double stepRatio,
    int beyond,
    double watchS,
    double deadlineS,
    double slower) {
  ObjectNode toJson() {
    ObjectNode o =
        Json.object()
            .put("by", by)
            .put("at", atWall)
            .put("why", why)
            .put("total", total)
            .put("step", step)
            .put("stepRatio", stepRatio)
            .put("beyond", beyond)
            .put("watchS", watchS)
            .put("deadlineS", deadlineS)
            .put("slower", slower);
    o.set("select", selection.toJson());
    return o;
  }

  static Order parse(JsonNode n) {
    return new Order(
        String.valueOf(Json.text(n, "by")),
        Json.number(n, "at", 0),
        String.valueOf(Json.text(n, "why")),
        Selection.parse(n.path("select")),
        (int) Json.number(n, "total", 0),
        (int) Json.number(n, "step", 1),
        Json.decimal(n, "stepRatio", 0),
        (int) Json.number(n, "beyond", 0),
        Json.decimal(n, "watchS", 0),
        Json.decimal(n, "deadlineS", 0),
        Json.decimal(n, "slower", 2));
  }

  /** True when somebody ordered the same, whenever that was. */
  public boolean sameAs(Order o) {
    return selection.sameAs(o.selection, atWall - o.atWall)
        && stepRatio == o.stepRatio
        && (stepRatio > 0 || step == o.step)
        && beyond == o.beyond
        && watchS == o.watchS
        && deadlineS == o.deadlineS
        && slower == o.slower;
  }
}
