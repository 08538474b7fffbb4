package dapplestair.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The cloud by its protocol: idempotent rentals, a lagging list, machines that never boot. */
public final class EmulatedCloud implements RequestHandler {
  private record Snapshot(long at, TreeMap<String, ObjectNode> hosts) {}

  private static final int MOST_LISTED = 500;
  private static final long SNAPSHOT_MS = 500;
  private static final long QUICK_BOOT_MS = 2000;

  private final EmulatorEnvironment environment;
  private final EmulatorSettings emulatorSettings;
  private final SubmissionLookup lookup;
  private final ControllerDirectory directory;
  private final TaskObserver observer;
  private final TreeMap<String, EmulatedWorker> machines = new TreeMap<>();
  private final Map<String, Long> rentedAt = new HashMap<>();
  private final Map<String, List<String>> answered = new HashMap<>();
  private final Map<String, String> asked = new HashMap<>();
  private final Map<String, Double> kept = new HashMap<>();
  private final ArrayDeque<Snapshot> snapshots = new ArrayDeque<>();
  private boolean down;
  private double capacity = 1;
  private double neverBoots;
  private double quickBoots;
  private boolean sick;
  private String violation;
  private int killedByRelease;
  private int killedByLease;
  private int made;

  /** A cloud without rented machines. */
  public EmulatedCloud(
      EmulatorEnvironment environment,
      EmulatorSettings emulatorSettings,
      SubmissionLookup lookup,
      ControllerDirectory directory,
      TaskObserver observer) {
    this.environment = environment;
    this.emulatorSettings = emulatorSettings;
    this.lookup = lookup;
    this.directory = directory;
    this.observer = observer;
    this.neverBoots = emulatorSettings.neverBoots();
    snapshot();
  }

  // ---- what may be seen and done from outside ----

  /** All machines that were not returned, also those that are gone by themselves. */
  public Collection<EmulatedWorker> machines() {
    return machines.values();
  }

  /** Whether requests get 503. */
  public void setDown(boolean value) {
    down = value;
  }

  /** Share of the machines rented from now on that never come up. */
  public void setNeverBoots(double share) {
    neverBoots = share;
  }

  /** Share of the machines rented from now on that are up within two seconds. */
  public void setQuickBoots(double share) {
    quickBoots = share;
  }

  /** Machines rented from now on fail every task. */
  public void setSick(boolean value) {
    sick = value;
  }

  /** Share of its machines that the cloud has to give. */
  public void setCapacity(double share) {
    capacity = share;
  }

  /** What somebody did that the protocol forbids, or null. */
  public String violation() {
    return violation;
  }

  /** Tasks that ran on machines when those were returned. */
  public int killedByRelease() {
    return killedByRelease;
  }

  /** Tasks that ran when their worker's lease ended. */
  public int killedByLease() {
    return killedByLease;
  }

  // ---- for its machines ----

  SubmissionLookup book() {
    return lookup;
  }

  ControllerDirectory directory() {
    return directory;
  }

  TaskObserver observer() {
    return observer;
  }

  void violated(String what) {
    violation = what;
  }

  void killedByLease(long tasks) {
    killedByLease += (int) tasks;
  }

  /** Checkpoints are stored outside machines: run time that a task has saved, seconds. */
  double kept(String key) {
    return kept.getOrDefault(key, 0.0);
  }

  void keep(String key, double seconds) {
    if (seconds > 0) {
      kept.merge(key, seconds, Double::sum);
    }
  }

  void forget(String key) {
    kept.remove(key);
  }

  // ---- the protocol ----

  private void snapshot() {
    TreeMap<String, ObjectNode> hosts = new TreeMap<>();
    machines.forEach(
        (id, w) -> {
          if (!w.gone()) {
            hosts.put(id, listed(id, w));
          }
        });
    snapshots.add(new Snapshot(environment.now(), hosts));
    // Older than any list may be.
    while (snapshots.size() > 2 + 2 * emulatorSettings.listLagMs() / SNAPSHOT_MS) {
      snapshots.poll();
    }
    environment.after(SNAPSHOT_MS, this::snapshot);
  }

  private ObjectNode listed(String id, EmulatedWorker emulatedWorker) {
    return Json.object()
        .put("ref", id)
        .put("endpoint", emulatedWorker.endpoint())
        .put("hull", emulatedWorker.type())
        .put("basin", emulatedWorker.zone())
        .put("loaners", emulatedWorker.spot())
        .put("status", emulatedWorker.booted() ? "running" : "booting")
        .put("ageS", (environment.now() - rentedAt.get(id)) / 1000.0);
  }

  @Override
  public void request(
      String from, String method, String path, byte[] body, Consumer<HttpReply> reply) {
    if (down) {
      reply.accept(EmulatedState.json(503, Json.object().put("error", "trouble")));
    } else if (path.equals("/machine_types")) {
      reply.accept(EmulatedState.json(200, types()));
    } else if (path.equals("/rentals")) {
      reply.accept(rent(Json.parse(body)));
    } else if (path.equals("/rentals/release")) {
      Json.parse(body).path("hosts").forEach(h -> release(h.asText()));
      reply.accept(EmulatedState.json(200, Json.object()));
    } else {
      reply.accept(list(EmulatedState.query(path, "from")));
    }
  }

  private void release(String id) {
    EmulatedWorker emulatedWorker = machines.remove(id);
    if (emulatedWorker != null) {
      killedByRelease +=
          (int) emulatedWorker.tasks().stream().filter(EmulatedTask::onMachine).count();
      rentedAt.remove(id);
      emulatedWorker.tasks().stream()
          .filter(t -> !t.exited())
          .forEach(t -> observer.returned(emulatedWorker, t));
      emulatedWorker.end();
    }
  }

  private HttpReply list(String from) {
    // Lists lag by up to twice the stated time, and come out of order.
    long at =
        environment.now()
            - environment.between(
                emulatorSettings.listLagMs() / 2, 2 * emulatorSettings.listLagMs());
    Snapshot best = snapshots.peek();
    for (Snapshot snapshot : snapshots) {
      if (snapshot.at <= at) {
        best = snapshot;
      }
    }
    ObjectNode object = Json.object();
    ArrayNode hosts = object.putArray("hosts");
    Map<String, ObjectNode> rest = from == null ? best.hosts : best.hosts.tailMap(from, false);
    for (ObjectNode h : rest.values()) {
      if (hosts.size() == MOST_LISTED) {
        break;
      }
      hosts.add(h);
    }
    return EmulatedState.json(200, object.put("more", rest.size() > MOST_LISTED));
  }

  private HttpReply rent(JsonNode in) {
    String name = in.path("rental").asText();
    EmulatorSettings.MachineSpec type = emulatorSettings.type(in.path("hull").asText());
    int count = in.path("howMany").asInt();
    if (name.isEmpty() || type == null || count < 1 || count > 50) {
      return EmulatedState.json(400, Json.object().put("error", "malformed"));
    }
    String what = type.name() + in.path("basin") + in.path("loaners") + count;
    if (!what.equals(asked.getOrDefault(name, what))) {
      violation = "rental name reused: " + name;
    }
    asked.put(name, what);
    List<String> hosts = answered.get(name);
    if (hosts == null) {
      hosts = make(type, in.path("basin").asText(), in.path("loaners").asBoolean(), count);
      if (hosts.isEmpty()) {
        return EmulatedState.json(503, Json.object().put("error", "no capacity"));
      }
      answered.put(name, hosts);
    }
    ObjectNode object = Json.object();
    hosts.forEach(object.putArray("hosts")::add);
    return EmulatedState.json(200, object);
  }

  private List<String> make(
      EmulatorSettings.MachineSpec type, String zone, boolean spot, int count) {
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < count && room(type, zone, spot); i++) {
      String id = String.format("n-%06d", made++);
      EmulatedWorker emulatedWorker =
          new EmulatedWorker(environment, this, emulatorSettings, type, id, zone, spot);
      machines.put(id, emulatedWorker);
      rentedAt.put(id, environment.now());
      hosts.add(id);
      if (sick) {
        emulatedWorker.sicken();
      }
      if (!environment.chance(neverBoots)) {
        environment.after(
            bootMs(type),
            () -> {
              if (!emulatedWorker.gone()) {
                emulatedWorker.boot();
              }
            });
      }
    }
    return hosts;
  }

  private long bootMs(EmulatorSettings.MachineSpec type) {
    if (quickBoots > 0 && environment.chance(quickBoots)) {
      return environment.between(QUICK_BOOT_MS / 8, QUICK_BOOT_MS);
    }
    long usualMs = Math.round(1000 * type.bootS());
    return environment.between(usualMs / 8, usualMs * 3 / 2);
  }

  private boolean room(EmulatorSettings.MachineSpec type, String zone, boolean spot) {
    long n =
        machines.values().stream()
            .filter(w -> !w.gone() && w.zone().equals(zone) && w.spot() == spot)
            .filter(w -> w.type().equals(type.name()))
            .count();
    return emulatorSettings.zones().contains(zone)
        && n < Math.floor(capacity * emulatorSettings.perPlace());
  }

  private ObjectNode types() {
    ObjectNode object = Json.object();
    ArrayNode hulls = object.putArray("hulls");
    for (EmulatorSettings.MachineSpec machine : emulatorSettings.types()) {
      ObjectNode t =
          hulls
              .addObject()
              .put("label", machine.name())
              .put("vcpus", machine.cpus())
              .put("accelerators", machine.gpus())
              .put("memoryGb", machine.memoryGb())
              .put("cacheGb", machine.cacheGb())
              .put("pullGbPerS", machine.fetchGbPerS())
              .put("hourly", machine.price())
              .put("marketPrice", machine.spotPrice())
              .put("readyS", machine.bootS());
      emulatorSettings.zones().forEach(t.putArray("basins")::add);
    }
    return object;
  }
}
