package dapplestair.replacement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.Set;
import java.util.TreeSet;

/**
 * The recorded progress of an order, with everything that the next leader needs to continue it.
 *
 * @param phase phase of the current step
 * @param stepsBegun number of steps begun
 * @param batch names of the machines of the current step
 * @param phaseStartWallMs wall-clock time at which the step, or its current phase, began
 * @param judgedSinceWallMs wall-clock time; the step is judged by the machines rented since then
 * @param surgeCount number of machines in addition to the old ones that this step may hold, as many
 *     as the budget paid for
 * @param pauseReason reason why the order pauses, or null if it does not
 * @param operatorMustResume whether only an operator can end the pause
 * @param remark note on how the order proceeds, or null
 */
record ReplacementProgress(
    Phase phase,
    int stepsBegun,
    Set<String> batch,
    long phaseStartWallMs,
    long judgedSinceWallMs,
    int surgeCount,
    String pauseReason,
    boolean operatorMustResume,
    String remark) {
  /** The phases of a step. */
  enum Phase {
    /** The machines of the next step are not chosen yet. */
    CHOOSE,
    /** New machines are being rented and booted while the old ones continue to work. */
    RAISE,
    /** The old machines are drained and returned; afterwards the step is watched. */
    EMPTY,
    /** No old machines are left. */
    DONE
  }

  static final ReplacementProgress INITIAL =
      new ReplacementProgress(Phase.CHOOSE, 0, Set.of(), 0, 0, 0, null, false, null);

  ReplacementProgress enterPhase(Phase next, long nowWallMs) {
    return new ReplacementProgress(
        next, stepsBegun, batch, nowWallMs, judgedSinceWallMs, surgeCount, null, false, remark);
  }

  ReplacementProgress complete(long nowWallMs) {
    return new ReplacementProgress(
        Phase.DONE, stepsBegun, Set.of(), nowWallMs, judgedSinceWallMs, 0, null, false, null);
  }

  ReplacementProgress beginStep(Phase next, Set<String> machines, int surge, long nowWallMs) {
    return new ReplacementProgress(
        next, stepsBegun + 1, machines, nowWallMs, nowWallMs, surge, null, false, null);
  }

  ReplacementProgress restrictTo(Set<String> machines, long nowWallMs, String reason) {
    return new ReplacementProgress(
        Phase.EMPTY,
        stepsBegun,
        machines,
        nowWallMs,
        judgedSinceWallMs,
        surgeCount,
        null,
        false,
        reason);
  }

  ReplacementProgress pause(String reason, boolean untilOperatorResumes) {
    return new ReplacementProgress(
        phase,
        stepsBegun,
        batch,
        phaseStartWallMs,
        judgedSinceWallMs,
        surgeCount,
        reason,
        untilOperatorResumes,
        remark);
  }

  /**
   * Returns the progress without a pause. An operator who ends the pause has seen the new machines
   * that exist, so only those rented later are judged.
   */
  ReplacementProgress resume(long nowWallMs) {
    return new ReplacementProgress(
        phase,
        stepsBegun,
        batch,
        nowWallMs,
        operatorMustResume ? nowWallMs : judgedSinceWallMs,
        surgeCount,
        null,
        false,
        remark);
  }

  ReplacementProgress withRemark(String newRemark) {
    return new ReplacementProgress(
        phase,
        stepsBegun,
        batch,
        phaseStartWallMs,
        judgedSinceWallMs,
        surgeCount,
        pauseReason,
        operatorMustResume,
        newRemark);
  }

  void writeTo(ObjectNode order) {
    ObjectNode object = order.putObject("progress");
    object
        .put("phase", phase.name())
        .put("steps", stepsBegun)
        .put("at", phaseStartWallMs)
        .put("since", judgedSinceWallMs)
        .put("beyond", surgeCount);
    ArrayNode names = object.putArray("batch");
    batch.forEach(names::add);
    if (pauseReason != null) {
      object.put("paused", pauseReason).put("byWord", operatorMustResume);
    }
    if (remark != null) {
      object.put("remark", remark);
    }
  }

  static ReplacementProgress read(JsonNode node) {
    JsonNode progress = node.path("progress");
    if (!progress.isObject()) {
      return INITIAL;
    }
    Set<String> batch = new TreeSet<>();
    progress.path("batch").forEach(x -> batch.add(x.asText()));
    return new ReplacementProgress(
        parsePhase(Json.text(progress, "phase")),
        (int) Json.number(progress, "steps", 0),
        batch,
        Json.number(progress, "at", 0),
        Json.number(progress, "since", 0),
        (int) Json.number(progress, "beyond", 0),
        Json.text(progress, "paused"),
        Json.flag(progress, "byWord"),
        Json.text(progress, "remark"));
  }

  private static Phase parsePhase(String name) {
    for (Phase phase : Phase.values()) {
      if (phase.name().equals(name)) {
        return phase;
      }
    }
    return Phase.CHOOSE;
  }
}
