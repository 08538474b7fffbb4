package dapplestair.world;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The cloud by its protocol: idempotent rentals, a lagging list, machines that never boot. */
final class StandInCloud implements Network.Place {
  private record Snapshot(long at, List<ObjectNode> hosts) {}

  private final World world;
  final TreeMap<String, StandInWorker> machines = new TreeMap<>();
  private final Map<String, Long> rentedAt = new HashMap<>();
  private final Map<String, List<String>> answered = new HashMap<>();
  private final Map<String, String> asked = new HashMap<>();
  private final List<Snapshot> snapshots = new ArrayList<>();
  boolean down;
  boolean short_;
  String violation;
  int killedByRelease;
  int killedByLease;
  private int made;

  StandInCloud(World world) {
    this.world = world;
    snapshot();
  }

  private void snapshot() {
    List<ObjectNode> hosts = new ArrayList<>();
    machines.forEach(
        (id, w) -> {
          if (!w.gone) {
            hosts.add(
                Json.object()
                    .put("ref", id)
                    .put("endpoint", w.endpoint)
                    .put("hull", w.type)
                    .put("basin", w.zone)
                    .put("loaners", w.spot)
                    .put("status", w.booted ? "running" : "booting")
                    .put("ageS", (world.sim.now() - rentedAt.get(id)) / 1000.0));
          }
        });
    snapshots.add(new Snapshot(world.sim.now(), hosts));
    world.sim.after(500, this::snapshot);
  }

  @Override
  public void request(
      String from, String method, String path, byte[] body, Consumer<HttpReply> reply) {
    if (down) {
      reply.accept(StandInState.json(503, Json.object().put("error", "trouble")));
    } else if (path.equals("/machine_types")) {
      reply.accept(StandInState.json(200, types()));
    } else if (path.equals("/rentals")) {
      reply.accept(rent(Json.parse(body)));
    } else if (path.equals("/rentals/release")) {
      for (JsonNode h : Json.parse(body).path("hosts")) {
        StandInWorker w = machines.remove(h.asText());
        if (w != null) {
          killedByRelease +=
              (int) w.tasks.values().stream().filter(StandInWorker.Task::onMachine).count();
          w.end();
        }
      }
      reply.accept(StandInState.json(200, Json.object()));
    } else {
      reply.accept(list());
    }
  }

  private HttpReply list() {
    // Lists lag by up to twice the stated time, and come out of order.
    long at = world.sim.now() - world.sim.between(World.LAG_MS / 2, 2 * World.LAG_MS);
    Snapshot best = snapshots.get(0);
    for (Snapshot s : snapshots) {
      if (s.at <= at) {
        best = s;
      }
    }
    ObjectNode o = Json.object().put("more", false);
    ArrayNode hosts = o.putArray("hosts");
    best.hosts.forEach(hosts::add);
    return StandInState.json(200, o);
  }

  private HttpReply rent(JsonNode in) {
    String name = in.path("rental").asText();
    String what =
        in.path("hull").asText() + in.path("basin") + in.path("loaners") + in.path("howMany");
    if (!what.equals(asked.getOrDefault(name, what))) {
      violation = "rental name reused: " + name;
    }
    asked.put(name, what);
    List<String> hosts = answered.get(name);
    if (hosts == null) {
      hosts = new ArrayList<>();
      String zone = in.path("basin").asText();
      boolean spot = in.path("loaners").asBoolean();
      for (int i = 0; i < in.path("howMany").asInt() && room(zone, spot); i++) {
        String id = String.format("n-%06d", made++);
        StandInWorker w = new StandInWorker(world, id, in.path("hull").asText(), zone, spot);
        machines.put(id, w);
        rentedAt.put(id, world.sim.now());
        hosts.add(id);
        if (!world.sim.chance(0.05)) {
          world.sim.after(
              world.sim.between(500, 6000),
              () -> {
                if (!w.gone) {
                  w.boot();
                }
              });
        }
      }
      if (hosts.isEmpty()) {
        return StandInState.json(503, Json.object().put("error", "no capacity"));
      }
      answered.put(name, hosts);
    }
    ObjectNode o = Json.object();
    hosts.forEach(o.putArray("hosts")::add);
    return StandInState.json(200, o);
  }

  private boolean room(String zone, boolean spot) {
    long n =
        machines.values().stream()
            .filter(w -> !w.gone && w.zone.equals(zone) && w.spot == spot)
            .count();
    return n < (short_ ? world.size.perPlace() / 4 : world.size.perPlace());
  }

  private static ObjectNode types() {
    ObjectNode o = Json.object();
    ArrayNode hulls = o.putArray("hulls");
    ObjectNode t =
        hulls
            .addObject()
            .put("label", "t8")
            .put("vcpus", World.CPUS)
            .put("accelerators", 0)
            .put("memoryGb", 64)
            .put("cacheGb", 50)
            .put("pullGbPerS", 1.0)
            .put("hourly", 1.0)
            .put("marketPrice", 0.4)
            .put("readyS", 4);
    World.ZONES.forEach(t.putArray("basins")::add);
    return o;
  }
}
