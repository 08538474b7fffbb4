package dapplestair.zones;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.Locale;

/**
 * Where a zone stands in its life.
 *
 * @param state what it is
 * @param sinceWall since when, time of day
 * @param by whose word it is
 * @param cuts how often it was cut of late, this time included
 * @param cutWall when it was last cut
 */
public record ZoneStatus(State state, long sinceWall, String by, int cuts, long cutWall) {
  /** What a zone can be. */
  public enum State {
    /** Heard, and steady for as long as its past asks. */
    STEADY,
    /** Silent for longer than any report takes, while other zones are heard. */
    CUT,
    /** Silent for longer than what runs there is kept alive. */
    LOST,
    /** Heard again, but not for long enough. */
    RETURNING;

    /** The form shown to people. */
    public String shown() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** A zone of which nothing bad is known. */
  static final ZoneStatus NEW = new ZoneStatus(State.STEADY, 0, "", 0, 0);

  ZoneStatus to(State next, long wall, String who) {
    return new ZoneStatus(next, wall, who, cuts, cutWall);
  }

  /** Cut once more; what lies further back than {@code memoryMs} is forgotten. */
  ZoneStatus cut(long wall, String who, long memoryMs) {
    int before = wall - cutWall < memoryMs ? cuts : 0;
    return new ZoneStatus(State.CUT, wall, who, before + 1, wall);
  }

  ObjectNode toJson() {
    return Json.object()
        .put("state", state.name())
        .put("since", sinceWall)
        .put("by", by)
        .put("cuts", cuts)
        .put("cutAt", cutWall);
  }

  static ZoneStatus parse(JsonNode node) {
    State state = State.STEADY;
    for (State s : State.values()) {
      state = s.name().equals(Json.text(node, "state")) ? s : state;
    }
    return new ZoneStatus(
        state,
        Json.number(node, "since", 0),
        String.valueOf(Json.text(node, "by")),
        (int) Json.number(node, "cuts", 0),
        Json.number(node, "cutAt", 0));
  }
}
