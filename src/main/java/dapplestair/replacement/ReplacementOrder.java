package dapplestair.replacement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;

/**
 * An order to replace machines.
 *
 * @param orderedBy operator who gave the order
 * @param orderedAtWallMs wall-clock time of the order; machines rented before are old
 * @param reason reason given by the operator, possibly empty
 * @param selector machines to replace
 * @param totalMachines number of machines selected when the order was given
 * @param maxPerStep maximum number of machines replaced at a time
 * @param stepRatio ratio of a step to all machines, if the step was given as a ratio, or 0
 * @param maxSurge maximum number of new machines that may be up in addition to the old ones
 * @param watchS seconds for which a step is watched before the next one
 * @param deadlineS seconds into a step after which work that saves no state is stopped as far as
 *     its team's budget allows; 0 to wait for its end
 * @param maxSlowdown maximum ratio of the new machines' slowness to that of the old ones
 */
public record ReplacementOrder(
    String orderedBy,
    long orderedAtWallMs,
    String reason,
    MachineSelector selector,
    int totalMachines,
    int maxPerStep,
    double stepRatio,
    int maxSurge,
    double watchS,
    double deadlineS,
    double maxSlowdown) {
  ObjectNode toJson() {
    ObjectNode object =
        Json.object()
            .put("by", orderedBy)
            .put("at", orderedAtWallMs)
            .put("why", reason)
            .put("total", totalMachines)
            .put("step", maxPerStep)
            .put("stepRatio", stepRatio)
            .put("beyond", maxSurge)
            .put("watchS", watchS)
            .put("deadlineS", deadlineS)
            .put("slower", maxSlowdown);
    object.set("select", selector.toJson());
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

  /** Returns whether another order is the same, apart from the time at which it was given. */
  public boolean isSameAs(ReplacementOrder other) {
    return selector.isSameAs(other.selector, orderedAtWallMs - other.orderedAtWallMs)
        && stepRatio == other.stepRatio
        && (stepRatio > 0 || maxPerStep == other.maxPerStep)
        && maxSurge == other.maxSurge
        && watchS == other.watchS
        && deadlineS == other.deadlineS
        && maxSlowdown == other.maxSlowdown;
  }
}
