package dapplestair.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.ArrayList;
import java.util.List;

/** A request to the cloud under one name, and the machines provided for it that still exist. */
final class Rental {
  final String name;
  final CapacityPool pool;
  final int count;

  /** Wall-clock time of the request. */
  final long requestedWallMs;

  /** Machines that the cloud provided; null until it has answered. */
  List<String> hostIds;

  long stamp;
  boolean writeInFlight;
  boolean requestInFlight;
  boolean refused;

  /** True when this rental was, or may have been, requested from the cloud. */
  boolean maybeRequested;

  long writtenAtMs = Long.MIN_VALUE / 2;

  Rental(String name, CapacityPool pool, int count, long requestedWallMs) {
    this.name = name;
    this.pool = pool;
    this.count = count;
    this.requestedWallMs = requestedWallMs;
  }

  /** Parses a record; {@code defaultWallMs} stands in for a missing time of request. */
  static Rental parse(String name, JsonNode value, long defaultWallMs) {
    MachineKind kind = new MachineKind(value.path("hull").asText(), Json.flag(value, "loaners"));
    CapacityPool pool = new CapacityPool(kind, value.path("basin").asText());
    return new Rental(
        name, pool, value.path("howMany").asInt(), Json.number(value, "at", defaultWallMs));
  }

  void parseHosts(JsonNode value) {
    if (value.path("hosts").isArray()) {
      hostIds = new ArrayList<>();
      value.get("hosts").forEach(h -> hostIds.add(h.asText()));
    }
  }

  /** Returns true while the cloud's answer is not known, so that machines may be on their way. */
  boolean isPending() {
    return hostIds == null && !refused;
  }

  ObjectNode toJson() {
    ObjectNode object =
        Json.object()
            .put("hull", pool.kind().type())
            .put("basin", pool.zone())
            .put("loaners", pool.kind().spot())
            .put("howMany", count)
            .put("at", requestedWallMs);
    if (hostIds != null) {
      ArrayNode names = object.putArray("hosts");
      hostIds.forEach(names::add);
    }
    return object;
  }
}
