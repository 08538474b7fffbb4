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
public record Selection(
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
  boolean sameAs(Selection o, long laterMs) {
    boolean sameAge =
        beforeWall == 0 || o.beforeWall == 0
            ? beforeWall == o.beforeWall
            : beforeWall - o.beforeWall == laterMs;
    return sameAge
        && Objects.equals(zone, o.zone)
        && Objects.equals(type, o.type)
        && Objects.equals(spot, o.spot)
        && names.equals(o.names);
  }

  ObjectNode toJson() {
    ObjectNode o = Json.object();
    if (zone != null) {
      o.put("zone", zone);
    }
    if (type != null) {
      o.put("type", type);
    }
    if (spot != null) {
      o.put("spot", spot);
    }
    if (beforeWall != 0) {
      o.put("before", beforeWall);
    }
    if (!names.isEmpty()) {
      names.forEach(o.putArray("names")::add);
    }
    return o;
  }

  static Selection parse(JsonNode n) {
    Set<String> names = new TreeSet<>();
    n.path("names").forEach(x -> names.add(x.asText()));
    return new Selection(
        Json.text(n, "zone"),
        Json.text(n, "type"),
        n.has("spot") ? Json.flag(n, "spot") : null,
        Json.number(n, "before", 0),
        names);
  }
}
