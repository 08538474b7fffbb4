package dapplestair.machines;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.work.Submission;
import java.util.ArrayList;
import java.util.List;

/** A type of machine that the cloud rents. Prices are per hour. */
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

  /** Parses one entry; returns null when it has no name, or no positive CPUs or memory. */
  static MachineType parse(JsonNode node) {
    String name = Json.text(node, "label");
    double cpus = Json.decimal(node, "vcpus", -1);
    double memory = Json.decimal(node, "memoryGb", -1);
    if (name == null || cpus <= 0 || memory <= 0) {
      return null;
    }
    List<String> zones = new ArrayList<>();
    node.path("basins").forEach(z -> zones.add(z.asText()));
    double price = Json.decimal(node, "hourly", 1);
    return new MachineType(
        name,
        cpus,
        Json.decimal(node, "accelerators", 0),
        memory,
        Json.decimal(node, "cacheGb", 1),
        Math.max(0.001, Json.decimal(node, "pullGbPerS", 1)),
        price,
        Json.decimal(node, "marketPrice", price),
        Math.max(0.1, Json.decimal(node, "readyS", 30)),
        List.copyOf(zones));
  }

  ObjectNode toJson() {
    ObjectNode object =
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
    zones.forEach(object.putArray("basins")::add);
    return object;
  }

  /**
   * Returns whether one task of the job fits an empty machine of this type and the job allows it.
   */
  public boolean suits(Submission submission) {
    return (submission.types() == null || submission.types().contains(name))
        && (submission.zone() == null || zones.contains(submission.zone()))
        && submission.cpus() <= cpus
        && submission.gpus() <= gpus
        && submission.memoryGb() <= memoryGb;
  }

  /** Returns the current price for one hour. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
