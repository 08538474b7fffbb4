package dapplestair.machines;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.work.Submission;
import java.util.ArrayList;
import java.util.List;

/** A kind of machine that the cloud rents. Prices are per hour. */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {

  /** Reads one entry, or null when it makes no sense. */
  static MachineType parse(JsonNode n) {
    String name = Json.text(n, "label");
    double cpus = Json.decimal(n, "vcpus", -1);
    double memory = Json.decimal(n, "memoryGb", -1);
    if (name == null || cpus <= 0 || memory <= 0) {
      return null;
    }
    List<String> zones = new ArrayList<>();
    n.path("basins").forEach(z -> zones.add(z.asText()));
    double price = Json.decimal(n, "hourly", 1);
    return new MachineType(
        name,
        cpus,
        Json.decimal(n, "accelerators", 0),
        memory,
        Json.decimal(n, "cacheGb", 1),
        Math.max(0.001, Json.decimal(n, "pullGbPerS", 1)),
        price,
        Json.decimal(n, "marketPrice", price),
        Math.max(0.1, Json.decimal(n, "readyS", 30)),
        List.copyOf(zones));
  }

  ObjectNode toJson() {
    ObjectNode o =
        Json.object()
            .put("label", name)
            .put("vcpus", cpus)
            .put("accelerators", gpus)
            .put("memoryGb", memoryGb)
            .put("cacheGb", cacheGb)
            .put("pullGbPerS", fetchGbPerS)
            .put("hourly", price)
            .put("marketPrice", spotPrice)
            .put("readyS", bootS);
    zones.forEach(o.putArray("basins")::add);
    return o;
  }

  /** True when one task of the job fits an empty machine of this type and the job allows it. */
  public boolean suits(Submission s) {
    return (s.types() == null || s.types().contains(name))
        && (s.zone() == null || zones.contains(s.zone()))
        && s.cpus() <= cpus
        && s.gpus() <= gpus
        && s.memoryGb() <= memoryGb;
  }

  /** What one hour costs now. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
