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

/**
 * Emulates the cloud's protocol: idempotent rentals, a machine list that lags, and machines that
 * never boot.
 */
public final class EmulatedCloud implements RequestHandler {
  private record Snapshot(long takenAtMs, TreeMap<String, ObjectNode> hosts) {}

  private static final int MAX_LISTED = 500;
  private static final long SNAPSHOT_INTERVAL_MS = 500;
  private static final long MAX_QUICK_BOOT_MS = 2000;

  private final EmulatorEnvironment environment;
  private final EmulatorSettings emulatorSettings;
  private final SubmissionLookup submissionLookup;
  private final ControllerDirectory directory;
  private final TaskObserver observer;
  private final TreeMap<String, EmulatedWorker> machines = new TreeMap<>();
  private final Map<String, Long> rentedAtMs = new HashMap<>();
  private final Map<String, List<String>> hostsByRental = new HashMap<>();
  private final Map<String, String> requestsByRental = new HashMap<>();
  private final Map<String, Double> savedRunSeconds = new HashMap<>();
  private final ArrayDeque<Snapshot> snapshots = new ArrayDeque<>();
  private boolean down;
  private double capacityShare = 1;
  private double neverBootingShare;
  private double quickBootingShare;
  private boolean newMachinesFailTasks;
  private String violation;
  private int tasksKilledByRelease;
  private int tasksKilledByLease;
  private int machinesCreated;

  /** Creates a cloud without rented machines. */
  public EmulatedCloud(
      EmulatorEnvironment environment,
      EmulatorSettings emulatorSettings,
      SubmissionLookup submissionLookup,
      ControllerDirectory directory,
      TaskObserver observer) {
    this.environment = environment;
    this.emulatorSettings = emulatorSettings;
    this.submissionLookup = submissionLookup;
    this.directory = directory;
    this.observer = observer;
    this.neverBootingShare = emulatorSettings.neverBootingShare();
    takeSnapshot();
  }

  // ---- inspection and fault injection ----

  /** Returns all machines that were not released, including those that have lost power. */
  public Collection<EmulatedWorker> machines() {
    return machines.values();
  }

  /** Sets whether all requests are answered with 503. */
  public void setDown(boolean value) {
    down = value;
  }

  /** Sets the share of the machines rented from now on that never boot. */
  public void setNeverBootingShare(double share) {
    neverBootingShare = share;
  }

  /** Sets the share of the machines rented from now on that boot within two seconds. */
  public void setQuickBootingShare(double share) {
    quickBootingShare = share;
  }

  /** Sets whether machines rented from now on fail every task. */
  public void setNewMachinesFailTasks(boolean value) {
    newMachinesFailTasks = value;
  }

  /** Sets the share of its machines that the cloud can rent out. */
  public void setCapacityShare(double share) {
    capacityShare = share;
  }

  /** Returns the last protocol violation by a controller, or null. */
  public String violation() {
    return violation;
  }

  /** Returns how many tasks were running on machines at the time of their release. */
  public int tasksKilledByRelease() {
    return tasksKilledByRelease;
  }

  /** Returns how many tasks were running when their worker's lease expired. */
  public int tasksKilledByLease() {
    return tasksKilledByLease;
  }

  // ---- access for the machines ----

  SubmissionLookup submissionLookup() {
    return submissionLookup;
  }

  ControllerDirectory directory() {
    return directory;
  }

  TaskObserver observer() {
    return observer;
  }

  void recordViolation(String description) {
    violation = description;
  }

  void countTasksKilledByLease(long tasks) {
    tasksKilledByLease += (int) tasks;
  }

  /**
   * Returns the run time, in seconds, that a task has saved in checkpoints. Checkpoints are stored
   * outside of the machines and so survive them.
   */
  double savedRunSeconds(String key) {
    return savedRunSeconds.getOrDefault(key, 0.0);
  }

  void addSavedRunSeconds(String key, double seconds) {
    if (seconds > 0) {
      savedRunSeconds.merge(key, seconds, Double::sum);
    }
  }

  void removeSavedRunSeconds(String key) {
    savedRunSeconds.remove(key);
  }

  // ---- protocol ----

  private void takeSnapshot() {
    TreeMap<String, ObjectNode> hosts = new TreeMap<>();
    machines.forEach(
        (id, worker) -> {
          if (!worker.isGone()) {
            hosts.put(id, toListEntry(id, worker));
          }
        });
    snapshots.add(new Snapshot(environment.now(), hosts));
    // Drops snapshots that are older than any list answer may be.
    while (snapshots.size() > 2 + 2 * emulatorSettings.listLagMs() / SNAPSHOT_INTERVAL_MS) {
      snapshots.poll();
    }
    environment.after(SNAPSHOT_INTERVAL_MS, this::takeSnapshot);
  }

  private ObjectNode toListEntry(String id, EmulatedWorker worker) {
    return Json.object()
        .put("ref", id)
        .put("endpoint", worker.endpoint())
        .put("hull", worker.type())
        .put("basin", worker.zone())
        .put("loaners", worker.isSpot())
        .put("status", worker.hasBooted() ? "running" : "booting")
        .put("ageS", (environment.now() - rentedAtMs.get(id)) / 1000.0);
  }

  @Override
  public void request(
      String from, String method, String path, byte[] body, Consumer<HttpReply> reply) {
    if (down) {
      reply.accept(EmulatedState.jsonReply(503, Json.object().put("error", "trouble")));
    } else if (path.equals("/machine_types")) {
      reply.accept(EmulatedState.jsonReply(200, machineTypes()));
    } else if (path.equals("/rentals")) {
      reply.accept(rent(Json.parse(body)));
    } else if (path.equals("/rentals/release")) {
      Json.parse(body).path("hosts").forEach(h -> releaseMachine(h.asText()));
      reply.accept(EmulatedState.jsonReply(200, Json.object()));
    } else {
      reply.accept(listMachines(EmulatedState.queryParameter(path, "from")));
    }
  }

  private void releaseMachine(String id) {
    EmulatedWorker worker = machines.remove(id);
    if (worker != null) {
      tasksKilledByRelease +=
          (int) worker.tasks().stream().filter(EmulatedTask::isOnMachine).count();
      rentedAtMs.remove(id);
      worker.tasks().stream()
          .filter(t -> !t.hasExited())
          .forEach(t -> observer.releasedWithTask(worker, t));
      worker.powerOff();
    }
  }

  private HttpReply listMachines(String afterId) {
    // Lists lag by up to twice the stated time, and successive lists may go back in time.
    long asOfMs =
        environment.now()
            - environment.between(
                emulatorSettings.listLagMs() / 2, 2 * emulatorSettings.listLagMs());
    Snapshot listedSnapshot = snapshots.peek();
    for (Snapshot snapshot : snapshots) {
      if (snapshot.takenAtMs <= asOfMs) {
        listedSnapshot = snapshot;
      }
    }
    ObjectNode response = Json.object();
    ArrayNode hosts = response.putArray("hosts");
    Map<String, ObjectNode> remaining =
        afterId == null ? listedSnapshot.hosts : listedSnapshot.hosts.tailMap(afterId, false);
    for (ObjectNode host : remaining.values()) {
      if (hosts.size() == MAX_LISTED) {
        break;
      }
      hosts.add(host);
    }
    return EmulatedState.jsonReply(200, response.put("more", remaining.size() > MAX_LISTED));
  }

  private HttpReply rent(JsonNode rentalRequest) {
    String rentalName = rentalRequest.path("rental").asText();
    EmulatorSettings.MachineSpec type = emulatorSettings.type(rentalRequest.path("hull").asText());
    int count = rentalRequest.path("howMany").asInt();
    if (rentalName.isEmpty() || type == null || count < 1 || count > 50) {
      return EmulatedState.jsonReply(400, Json.object().put("error", "malformed"));
    }
    String requestKey =
        type.name() + rentalRequest.path("basin") + rentalRequest.path("loaners") + count;
    if (!requestKey.equals(requestsByRental.getOrDefault(rentalName, requestKey))) {
      violation = "rental name reused: " + rentalName;
    }
    requestsByRental.put(rentalName, requestKey);
    List<String> hosts = hostsByRental.get(rentalName);
    if (hosts == null) {
      hosts =
          createMachines(
              type,
              rentalRequest.path("basin").asText(),
              rentalRequest.path("loaners").asBoolean(),
              count);
      if (hosts.isEmpty()) {
        return EmulatedState.jsonReply(503, Json.object().put("error", "no capacity"));
      }
      hostsByRental.put(rentalName, hosts);
    }
    ObjectNode response = Json.object();
    hosts.forEach(response.putArray("hosts")::add);
    return EmulatedState.jsonReply(200, response);
  }

  private List<String> createMachines(
      EmulatorSettings.MachineSpec type, String zone, boolean spot, int count) {
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < count && hasCapacity(type, zone, spot); i++) {
      String id = String.format("n-%06d", machinesCreated++);
      EmulatedWorker worker =
          new EmulatedWorker(environment, this, emulatorSettings, type, id, zone, spot);
      machines.put(id, worker);
      rentedAtMs.put(id, environment.now());
      hosts.add(id);
      if (newMachinesFailTasks) {
        worker.failAllTasks();
      }
      if (!environment.chance(neverBootingShare)) {
        environment.after(
            bootMs(type),
            () -> {
              if (!worker.isGone()) {
                worker.boot();
              }
            });
      }
    }
    return hosts;
  }

  private long bootMs(EmulatorSettings.MachineSpec type) {
    if (quickBootingShare > 0 && environment.chance(quickBootingShare)) {
      return environment.between(MAX_QUICK_BOOT_MS / 8, MAX_QUICK_BOOT_MS);
    }
    long usualMs = Math.round(1000 * type.bootS());
    return environment.between(usualMs / 8, usualMs * 3 / 2);
  }

  private boolean hasCapacity(EmulatorSettings.MachineSpec type, String zone, boolean spot) {
    long rentedCount =
        machines.values().stream()
            .filter(w -> !w.isGone() && w.zone().equals(zone) && w.isSpot() == spot)
            .filter(w -> w.type().equals(type.name()))
            .count();
    return emulatorSettings.zones().contains(zone)
        && rentedCount < Math.floor(capacityShare * emulatorSettings.machinesPerZone());
  }

  private ObjectNode machineTypes() {
    ObjectNode response = Json.object();
    ArrayNode typeArray = response.putArray("hulls");
    for (EmulatorSettings.MachineSpec machine : emulatorSettings.types()) {
      ObjectNode typeJson =
          typeArray
              .addObject()
              .put("label", machine.name())
              .put("vcpus", machine.cpus())
              .put("accelerators", machine.gpus())
              .put("memoryGb", machine.memoryGb())
              .put("cacheGb", machine.cacheGb())
              .put("pullGbPerS", machine.fetchGbPerS())
              .put("hourly", machine.pricePerHour())
              .put("marketPrice", machine.spotPricePerHour())
              .put("readyS", machine.bootS());
      emulatorSettings.zones().forEach(typeJson.putArray("basins")::add);
    }
    return response;
  }
}
