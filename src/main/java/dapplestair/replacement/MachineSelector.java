package dapplestair.replacement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * Selects the machines to replace. A condition that is null, empty or 0 matches all machines.
 *
 * @param zone matches machines in this zone
 * @param type matches machines of this type
 * @param spot matches spot machines if true, steady machines if false
 * @param rentedBeforeWallMs matches machines rented before this wall-clock time
 * @param names matches machines with these names
 */
public record MachineSelector(
    String zone, String type, Boolean spot, long rentedBeforeWallMs, Set<String> names) {
  /** Returns whether a machine with these properties is selected. */
  public boolean matches(
      String id, String machineZone, String machineType, boolean isSpot, long rentedWallMs) {
    return (zone == null || zone.equals(machineZone))
        && (type == null || type.equals(machineType))
        && (spot == null || spot == isSpot)
        && (rentedBeforeWallMs == 0 || rentedWallMs < rentedBeforeWallMs)
        && (names.isEmpty() || names.contains(id));
  }

  /**
   * Returns whether another selector, created {@code laterMs} before this one, selects the same
   * machines by their age at the respective time.
   */
  boolean isSameAs(MachineSelector other, long laterMs) {
    boolean hasSameAge =
        rentedBeforeWallMs == 0 || other.rentedBeforeWallMs == 0
            ? rentedBeforeWallMs == other.rentedBeforeWallMs
            : rentedBeforeWallMs - other.rentedBeforeWallMs == laterMs;
    return hasSameAge
        && Objects.equals(zone, other.zone)
        && Objects.equals(type, other.type)
        && Objects.equals(spot, other.spot)
        && names.equals(other.names);
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
    if (rentedBeforeWallMs != 0) {
      object.put("before", rentedBeforeWallMs);
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
