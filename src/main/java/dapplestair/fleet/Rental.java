package dapplestair.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.ArrayList;
import java.util.List;

/** What was asked of the cloud under one name, and the machines had for it that still exist. */
final class Rental {
  final String name;
  final CapacityPool pool;
  final int count;

  /** Time of day at which it was asked for. */
  final long requestedWallMs;

  /** Null until the cloud has answered. */
  List<String> hostIds;

  long stamp;
  boolean writeInFlight;
  boolean requestInFlight;
  boolean refused;

  /** The cloud was, or may have been, asked for it. */
  boolean maybeRequested;

  long writtenAtMs = Long.MIN_VALUE / 2;

  Rental(String name, CapacityPool pool, int count, long requestedWallMs) {
    this.name = name;
    this.pool = pool;
    this.count = count;
    this.requestedWallMs = requestedWallMs;
  }

  /** The rental of a record; {@code defaultWallMs} is the time of day where it names none. */
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

  /** True while its machines are on their way or it is not known whether any are. */
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
