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
  final long wall;

  /** Null until the cloud has answered. */
  List<String> hosts;

  long stamp;
  boolean writing;
  boolean asking;
  boolean refused;

  /** The cloud was, or may have been, asked for it. */
  boolean asked;

  long writtenAt = Long.MIN_VALUE / 2;

  Rental(String name, CapacityPool pool, int count, long wall) {
    this.name = name;
    this.pool = pool;
    this.count = count;
    this.wall = wall;
  }

  /** The rental of a record; {@code now} is the time of day where it names none. */
  static Rental read(String name, JsonNode value, long now) {
    MachineKind kind = new MachineKind(value.path("hull").asText(), Json.flag(value, "loaners"));
    CapacityPool pool = new CapacityPool(kind, value.path("basin").asText());
    return new Rental(name, pool, value.path("howMany").asInt(), Json.number(value, "at", now));
  }

  void readHosts(JsonNode value) {
    if (value.path("hosts").isArray()) {
      hosts = new ArrayList<>();
      value.get("hosts").forEach(h -> hosts.add(h.asText()));
    }
  }

  /** True while its machines are on their way or it is not known whether any are. */
  boolean pending() {
    return hosts == null && !refused;
  }

  ObjectNode toJson() {
    ObjectNode object =
        Json.object()
            .put("hull", pool.kind().type())
            .put("basin", pool.zone())
            .put("loaners", pool.kind().spot())
            .put("howMany", count)
            .put("at", wall);
    if (hosts != null) {
      ArrayNode names = object.putArray("hosts");
      hosts.forEach(names::add);
    }
    return object;
  }
}
