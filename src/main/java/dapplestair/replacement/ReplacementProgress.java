package dapplestair.replacement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.Set;
import java.util.TreeSet;

/**
 * Where an order stands, as recorded: all that the next leader needs to go on.
 *
 * @param phase of the step under way
 * @param steps steps begun
 * @param batch the machines of this step
 * @param stepWall when the step, or its present phase, began
 * @param judgedWall machines rented since then are what this step is judged by
 * @param beyond machines beyond the old that this step may have: as many as the budget paid for
 * @param paused why nothing is done now, or null
 * @param byWord true when only an operator's word ends the pause
 * @param remark what is noteworthy about how it goes on, or null
 */
record ReplacementProgress(
    Phase phase,
    int steps,
    Set<String> batch,
    long stepWall,
    long judgedWall,
    int beyond,
    String paused,
    boolean byWord,
    String remark) {
  /** What is being done. */
  enum Phase {
    /** The next machines are still to be chosen. */
    CHOOSE,
    /** New machines are on their way; the old ones work on. */
    RAISE,
    /** The old ones are emptied and returned; afterwards the step is watched. */
    EMPTY,
    /** No old machine is left. */
    DONE
  }

  static final ReplacementProgress BEGIN =
      new ReplacementProgress(Phase.CHOOSE, 0, Set.of(), 0, 0, 0, null, false, null);

  ReplacementProgress in(Phase next, long wall) {
    return new ReplacementProgress(
        next, steps, batch, wall, judgedWall, beyond, null, false, remark);
  }

  ReplacementProgress done(long wall) {
    return new ReplacementProgress(
        Phase.DONE, steps, Set.of(), wall, judgedWall, 0, null, false, null);
  }

  ReplacementProgress step(Phase next, Set<String> machines, int more, long wall) {
    return new ReplacementProgress(next, steps + 1, machines, wall, wall, more, null, false, null);
  }

  ReplacementProgress only(Set<String> machines, long wall, String why) {
    return new ReplacementProgress(
        Phase.EMPTY, steps, machines, wall, judgedWall, beyond, null, false, why);
  }

  ReplacementProgress pause(String why, boolean untilTold) {
    return new ReplacementProgress(
        phase, steps, batch, stepWall, judgedWall, beyond, why, untilTold, remark);
  }

  /** Goes on. Whoever says so by his word has seen the new machines there are. */
  ReplacementProgress resume(long wall) {
    return new ReplacementProgress(
        phase, steps, batch, wall, byWord ? wall : judgedWall, beyond, null, false, remark);
  }

  ReplacementProgress remark(String what) {
    return new ReplacementProgress(
        phase, steps, batch, stepWall, judgedWall, beyond, paused, byWord, what);
  }

  void write(ObjectNode to) {
    ObjectNode object = to.putObject("progress");
    object
        .put("phase", phase.name())
        .put("steps", steps)
        .put("at", stepWall)
        .put("since", judgedWall)
        .put("beyond", beyond);
    ArrayNode names = object.putArray("batch");
    batch.forEach(names::add);
    if (paused != null) {
      object.put("paused", paused).put("byWord", byWord);
    }
    if (remark != null) {
      object.put("remark", remark);
    }
  }

  static ReplacementProgress read(JsonNode node) {
    JsonNode p = node.path("progress");
    if (!p.isObject()) {
      return BEGIN;
    }
    Set<String> batch = new TreeSet<>();
    p.path("batch").forEach(x -> batch.add(x.asText()));
    return new ReplacementProgress(
        phase(Json.text(p, "phase")),
        (int) Json.number(p, "steps", 0),
        batch,
        Json.number(p, "at", 0),
        Json.number(p, "since", 0),
        (int) Json.number(p, "beyond", 0),
        Json.text(p, "paused"),
        Json.flag(p, "byWord"),
        Json.text(p, "remark"));
  }

  private static Phase phase(String name) {
    for (Phase phase : Phase.values()) {
      if (phase.name().equals(name)) {
        return phase;
      }
    }
    return Phase.CHOOSE;
  }
}
