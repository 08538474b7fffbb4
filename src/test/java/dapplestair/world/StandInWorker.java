package dapplestair.world;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A machine's worker by its protocol: tokens, sessions, leases, orders, hanging. */
final class StandInWorker implements Network.Place {
  static final class Task {
    final String key;
    final long attempt;
    String status = "fetching";
    String cause;
    long endsAt;

    Task(String key, long attempt) {
      this.key = key;
      this.attempt = attempt;
    }

    boolean onMachine() {
      return status.equals("running") || status.equals("flushing");
    }
  }

  final World world;
  final String id;
  final String endpoint;
  final String type;
  final String zone;
  final boolean spot;
  final Map<String, Task> tasks = new LinkedHashMap<>();
  private final List<Runnable> whileHanging = new ArrayList<>();
  boolean gone;
  boolean booted;
  boolean hanging;
  boolean sick;
  private long tenure = 1;
  private long tick;
  private long baton;
  private long leaseFrom;
  private int node;
  private boolean reporting;
  private long recallAt = -1;
  private long generation;

  StandInWorker(World world, String id, String type, String zone, boolean spot) {
    this.world = world;
    this.id = id;
    this.endpoint = id + ":9000";
    this.type = type;
    this.zone = zone;
    this.spot = spot;
  }

  void boot() {
    booted = true;
    leaseFrom = world.sim.now();
    node = (int) world.sim.between(0, world.nodes.size() - 1);
    world.net.place(endpoint, this);
    heartbeat();
    lease();
  }

  void recall(long inMs) {
    recallAt = world.sim.now() + inMs;
    world.sim.after(inMs, this::end);
  }

  /** Power off: nothing is left, and nobody is told. */
  void end() {
    gone = true;
    tasks.clear();
    world.net.place(endpoint, (f, m, p, b, r) -> {});
  }

  void hang(long ms) {
    hanging = true;
    world.sim.after(
        ms,
        () -> {
          hanging = false;
          checkLease();
          List<Runnable> late = List.copyOf(whileHanging);
          whileHanging.clear();
          late.forEach(Runnable::run);
        });
  }

  private void lease() {
    if (!gone) {
      checkLease();
      world.sim.after(200, this::lease);
    }
  }

  private void checkLease() {
    // A hanging machine may resume only within its lease: past it, its tasks are gone as well.
    if (!gone && world.sim.now() - leaseFrom > World.LEASE_MS) {
      world.cloud.killedByLease += (int) tasks.values().stream().filter(Task::onMachine).count();
      tasks.clear();
      tenure++;
      generation++;
      leaseFrom = world.sim.now();
    }
  }

  private void heartbeat() {
    if (gone) {
      return;
    }
    report();
    world.sim.after(
        World.REPORT_MS * 3 / 4 + world.sim.between(0, World.REPORT_MS / 2), this::heartbeat);
  }

  private void report() {
    if (gone || hanging || reporting) {
      return;
    }
    reporting = true;
    long sentAt = world.sim.now();
    long sentTenure = tenure;
    tick++;
    String to = World.client(node);
    world.net.call(
        endpoint,
        to,
        "POST",
        "/agent/beat",
        Json.bytes(state()),
        4000,
        reply -> {
          reporting = false;
          if (!gone && !hanging) {
            answered(reply, sentAt, sentTenure);
          }
        });
  }

  private void answered(HttpReply reply, long sentAt, long sentTenure) {
    if (reply.status() == 200) {
      JsonNode body = Json.parse(reply.body());
      long token = body.path("baton").asLong(-1);
      if (token < baton || sentTenure != tenure) {
        return;
      }
      boolean higher = token > baton;
      baton = token;
      leaseFrom = Math.max(leaseFrom, sentAt);
      body.path("orders").forEach(this::execute);
      if (higher) {
        world.sim.after(500, this::report);
      }
    } else {
      String steward =
          reply.status() == 421 ? Json.text(Json.parse(reply.body()), "steward") : null;
      if (steward != null && world.index(steward) != node) {
        node = world.index(steward);
        world.sim.after(world.sim.between(0, 500), this::report);
      } else {
        node = (node + 1) % world.nodes.size();
        world.sim.after(1000, this::report);
      }
    }
  }

  private ObjectNode state() {
    ObjectNode o =
        Json.object()
            .put("host", id)
            .put("endpoint", endpoint)
            .put("hull", type)
            .put("basin", zone)
            .put("loaners", spot)
            .put("tenure", tenure)
            .put("tick", tick)
            .put("baton", baton);
    if (recallAt >= 0) {
      o.put("recallS", Math.max(0, recallAt - world.sim.now()) / 1000.0);
    }
    ArrayNode steps = o.putArray("steps");
    for (Task t : tasks.values()) {
      ObjectNode s = steps.addObject().put("step", t.key).put("try", t.attempt);
      s.put("status", t.status);
      if (t.cause != null) {
        s.put("cause", t.cause);
      }
    }
    return o;
  }

  @Override
  public void request(
      String from, String method, String path, byte[] body, Consumer<HttpReply> reply) {
    if (gone) {
      return;
    }
    if (hanging) {
      whileHanging.add(() -> request(from, method, path, body, reply));
      return;
    }
    if (path.equals("/status")) {
      tick++;
      reply.accept(StandInState.json(200, state()));
      return;
    }
    JsonNode in = Json.parse(body);
    boolean stale = in.path("baton").asLong(-1) < baton || in.path("tenure").asLong(-1) != tenure;
    if (!stale) {
      boolean higher = in.path("baton").asLong() > baton;
      baton = in.path("baton").asLong();
      in.path("orders").forEach(this::execute);
      if (higher) {
        world.sim.after(500, this::report);
      }
    }
    tick++;
    reply.accept(StandInState.json(stale ? 409 : 200, state()));
  }

  private void execute(JsonNode order) {
    String key = order.path("step").asText();
    long attempt = order.path("try").asLong();
    String name = key + "#" + attempt;
    Task t = tasks.get(name);
    switch (order.path("verb").asText()) {
      case "launch" -> launch(name, key, attempt);
      case "halt" -> {
        if (t != null && !t.status.equals("exited")) {
          exit(t, "stopped");
        }
      }
      case "clear" -> {
        if (t != null && t.status.equals("exited")) {
          tasks.remove(name);
        }
      }
      default -> throw new AssertionError("unknown order " + order);
    }
  }

  private void launch(String name, String key, long attempt) {
    if (tasks.containsKey(name)) {
      return;
    }
    Task t = new Task(key, attempt);
    String ref = key.substring(0, key.indexOf('/'));
    Users.Told told = world.users.told.get(ref);
    boolean here =
        tasks.values().stream().anyMatch(o -> o.key.equals(key) && !o.status.equals("exited"));
    double used =
        tasks.values().stream()
            .filter(o -> !o.status.equals("exited"))
            .mapToDouble(o -> world.users.told.get(o.key.substring(0, o.key.indexOf('/'))).cpus)
            .sum();
    tasks.put(name, t);
    if (told == null) {
      exit(t, "unknown");
    } else if (here) {
      exit(t, "busy");
    } else if (used + told.cpus > World.CPUS + 1e-9) {
      exit(t, "full");
    } else {
      long g = generation;
      world.sim.after(world.sim.between(50, 1500), () -> start(t, told, g));
    }
  }

  private void start(Task t, Users.Told told, long g) {
    if (gone || g != generation || !t.status.equals("fetching")) {
      return;
    }
    if (hanging) {
      whileHanging.add(() -> start(t, told, g));
      return;
    }
    t.status = "running";
    world.checker.started(this, t);
    if (sick) {
      world.sim.after(200, () -> finish(t, "error", g));
    } else if (!told.service) {
      long ms =
          Math.max(200, Math.round(told.runS * 1000 * (0.9 + 0.2 * world.sim.random.nextDouble())));
      world.sim.after(ms, () -> finish(t, "done", g));
    }
    report();
  }

  private void finish(Task t, String cause, long g) {
    if (gone || g != generation || !t.onMachine()) {
      return;
    }
    if (hanging) {
      whileHanging.add(() -> finish(t, cause, g));
      return;
    }
    if (cause.equals("done")) {
      world.checker.completed(t.key);
    }
    exit(t, cause);
    world.sim.after(500, this::report);
  }

  private static void exit(Task t, String cause) {
    t.status = "exited";
    t.cause = cause;
  }
}
