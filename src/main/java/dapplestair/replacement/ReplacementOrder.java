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
public record ReplacementOrder(
    String by,
    long atWall,
    String why,
    MachineSelector selection,
    int total,
    int step,
    double stepRatio,
    int beyond,
    double watchS,
    double deadlineS,
    double slower) {
  ObjectNode toJson() {
    ObjectNode object =
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
    object.set("select", selection.toJson());
    return object;
  }

  static ReplacementOrder parse(JsonNode node) {
    return new ReplacementOrder(
        String.valueOf(Json.text(node, "by")),
        Json.number(node, "at", 0),
        String.valueOf(Json.text(node, "why")),
        MachineSelector.parse(node.path("select")),
        (int) Json.number(node, "total", 0),
        (int) Json.number(node, "step", 1),
        Json.decimal(node, "stepRatio", 0),
        (int) Json.number(node, "beyond", 0),
        Json.decimal(node, "watchS", 0),
        Json.decimal(node, "deadlineS", 0),
        Json.decimal(node, "slower", 2));
  }

  /** True when somebody ordered the same, whenever that was. */
  public boolean sameAs(ReplacementOrder order) {
    return selection.sameAs(order.selection, atWall - order.atWall)
        && stepRatio == order.stepRatio
        && (stepRatio > 0 || step == order.step)
        && beyond == order.beyond
        && watchS == order.watchS
        && deadlineS == order.deadlineS
        && slower == order.slower;
  }
}
