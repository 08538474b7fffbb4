package dapplestair.replacement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which machines are to be replaced. What is null, or empty, does not matter.
 *
 * @param zone only of this zone
 * @param type only of this type
 * @param spot only spot machines, or only steady ones
 * @param beforeWall only those rented before, milliseconds of the time of day; 0: no matter
 * @param names only these
 */
public record MachineSelector(
    String zone, String type, Boolean spot, long beforeWall, Set<String> names) {
  /** True for a machine like this. */
  public boolean covers(String id, String inZone, String ofType, boolean isSpot, long rentedWall) {
    return (zone == null || zone.equals(inZone))
        && (type == null || type.equals(ofType))
        && (spot == null || spot == isSpot)
        && (beforeWall == 0 || rentedWall < beforeWall)
        && (names.isEmpty() || names.contains(id));
  }

  /** True when another one, given so much earlier, means the same machines, by their age then. */
  boolean sameAs(MachineSelector selection, long laterMs) {
    boolean sameAge =
        beforeWall == 0 || selection.beforeWall == 0
            ? beforeWall == selection.beforeWall
            : beforeWall - selection.beforeWall == laterMs;
    return sameAge
        && Objects.equals(zone, selection.zone)
        && Objects.equals(type, selection.type)
        && Objects.equals(spot, selection.spot)
        && names.equals(selection.names);
  }

  ObjectNode toJson() {
    ObjectNode object = Json.object();
    if (zone != null) {
      object.put("zone", zone);
    }
    if (type != null) {
      object.put("type", type);
    }
    if (spot != null) {
      object.put("spot", spot);
    }
    if (beforeWall != 0) {
      object.put("before", beforeWall);
    }
    if (!names.isEmpty()) {
      names.forEach(object.putArray("names")::add);
    }
    return object;
  }

  static MachineSelector parse(JsonNode node) {
    Set<String> names = new TreeSet<>();
    node.path("names").forEach(x -> names.add(x.asText()));
    return new MachineSelector(
        Json.text(node, "zone"),
        Json.text(node, "type"),
        node.has("spot") ? Json.flag(node, "spot") : null,
        Json.number(node, "before", 0),
        names);
  }
}
