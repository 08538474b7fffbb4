package dapplestair.machines;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.work.Submission;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The machine types known to this controller. */
public final class MachineTypes {
  private Map<String, MachineType> types = Map.of();

  /**
   * Reads the types from the cloud's response or the recorded copy; returns false when it has none.
   */
  public boolean read(JsonNode body) {
    Map<String, MachineType> readTypes = new LinkedHashMap<>();
    for (JsonNode node : body.path("hulls")) {
      MachineType type = MachineType.parse(node);
      if (type != null) {
        readTypes.put(type.name(), type);
      }
    }
    if (readTypes.isEmpty()) {
      return false;
    }
    types = readTypes;
    return true;
  }

  /** Returns the types as the record that every controller reads. */
  public ObjectNode toJson() {
    ObjectNode object = Json.object();
    var typeArray = object.putArray("hulls");
    types.values().forEach(t -> typeArray.add(t.toJson()));
    return object;
  }

  /** Returns whether types have been read. */
  public boolean isLoaded() {
    return !types.isEmpty();
  }

  /** Returns the type with this name, or null. */
  public MachineType get(String name) {
    return types.get(name);
  }

  /** Returns all types. */
  public Collection<MachineType> all() {
    return types.values();
  }

  /** Returns whether some type can hold a task of this job. */
  public boolean anySuits(Submission submission) {
    return types.values().stream().anyMatch(t -> t.suits(submission));
  }

  /**
   * Returns the seconds that a machine of this type takes to boot; for null, an unknown type, the
   * longest boot time of all types.
   */
  public double bootS(MachineType type) {
    return type != null
        ? type.bootS()
        : all().stream().mapToDouble(MachineType::bootS).max().orElse(60);
  }
}
