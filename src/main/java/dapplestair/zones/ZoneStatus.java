package dapplestair.zones;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.Locale;

/**
 * Where a zone stands in its life.
 *
 * @param state what it is
 * @param sinceWallMs since when, time of day
 * @param member whose word it is
 * @param cuts how often it was cut of late, this time included
 * @param lastCutWallMs when it was last cut
 */
public record ZoneStatus(
    State state, long sinceWallMs, String member, int cuts, long lastCutWallMs) {
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
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** A zone of which nothing bad is known. */
  static final ZoneStatus NEW = new ZoneStatus(State.STEADY, 0, "", 0, 0);

  ZoneStatus withState(State next, long nowWallMs, String newMember) {
    return new ZoneStatus(next, nowWallMs, newMember, cuts, lastCutWallMs);
  }

  /** Cut once more; what lies further back than {@code memoryMs} is forgotten. */
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
