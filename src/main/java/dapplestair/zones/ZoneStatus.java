package dapplestair.zones;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.Locale;

/**
 * The recorded state of a zone.
 *
 * @param state state of the zone
 * @param sinceWallMs wall-clock time at which this state began
 * @param member controller that recorded the state
 * @param cuts number of recent cuts, the current one included
 * @param lastCutWallMs wall-clock time of the last cut
 */
public record ZoneStatus(
    State state, long sinceWallMs, String member, int cuts, long lastCutWallMs) {
  /** States of a zone. */
  public enum State {
    /** Heard, and for long enough since its recent cuts, if there were any. */
    STEADY,
    /** Silent for longer than any report takes, while other zones are heard. */
    CUT,
    /** Silent for so long that the leases of all tasks that ran there have ended. */
    LOST,
    /** Heard again, but not yet for long enough to be steady. */
    RETURNING;

    /** Returns the name as shown to operators. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Status of a zone without a record: steady and never cut. */
  static final ZoneStatus NEW = new ZoneStatus(State.STEADY, 0, "", 0, 0);

  ZoneStatus withState(State next, long nowWallMs, String newMember) {
    return new ZoneStatus(next, nowWallMs, newMember, cuts, lastCutWallMs);
  }

  /**
   * Returns the status after a new cut. Earlier cuts count only if the last of them was less than
   * {@code memoryMs} ago.
   */
  ZoneStatus withCut(long newCutWallMs, String newMember, long memoryMs) {
    int recentCuts = newCutWallMs - lastCutWallMs < memoryMs ? cuts : 0;
    return new ZoneStatus(State.CUT, newCutWallMs, newMember, recentCuts + 1, newCutWallMs);
  }

  ObjectNode toJson() {
    return Json.object()
        .put("state", state.name())
        .put("since", sinceWallMs)
        .put("by", member)
        .put("cuts", cuts)
        .put("cutAt", lastCutWallMs);
  }

  static ZoneStatus parse(JsonNode node) {
    State state = State.STEADY;
    for (State candidate : State.values()) {
      state = candidate.name().equals(Json.text(node, "state")) ? candidate : state;
    }
    return new ZoneStatus(
        state,
        Json.number(node, "since", 0),
        String.valueOf(Json.text(node, "by")),
        (int) Json.number(node, "cuts", 0),
        Json.number(node, "cutAt", 0));
  }
}
