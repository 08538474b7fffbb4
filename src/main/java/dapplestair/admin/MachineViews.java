package dapplestair.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.drain.Drain;
import dapplestair.drain.DrainExecutor;
import dapplestair.drain.Drains;
import dapplestair.filter.Filter;
import dapplestair.json.Json;
import dapplestair.ledger.Attempt;
import dapplestair.ports.Clock;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.io.IOException;
import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.Consumer;

/** Builds the views of machines for operators. Only the leader knows the machines. */
final class MachineViews {
  private final Clock clock;
  private final WorkerManager workers;
  private final Drains drains;
  private final JobViews jobs;
  private final AsOfStamp asOf;
  private final PagedListing listing;

  MachineViews(
      Clock clock,
      WorkerManager workers,
      Drains drains,
      JobViews jobs,
      AsOfStamp asOf,
      PagedListing listing) {
    this.clock = clock;
    this.workers = workers;
    this.drains = drains;
    this.jobs = jobs;
    this.asOf = asOf;
    this.listing = listing;
  }

  void list(Filter filter, String after, int limit, Consumer<AdminResponse> done) {
    TreeSet<String> names = new TreeSet<>();
    workers.hosts().forEach(host -> names.add(host.id()));
    listing.read(names, this::row, filter, after, limit, done);
  }

  private PagedListing.WritableRow row(String id) {
    Host host = workers.findHost(id);
    return host == null ? null : new MachineRow(host, stateOf(host), clock.now());
  }

  /**
   * Returns the state of a machine. If several apply, returns the most important one: they are
   * checked in order of importance.
   */
  String stateOf(Host host) {
    if (host.isReleasing()) {
      return "returning";
    }
    if (host.isUnreachable()) {
      return "silent";
    }
    if (!host.isUp()) {
      return "booting";
    }
    if (host.isDrainedByOperator()) {
      return host.isIdle() ? "drained" : "draining";
    }
    if (host.isDraining()) {
      return "faulty";
    }
    if (host.hasReclaimNotice()) {
      return "notice";
    }
    if (!host.hasAcknowledgedTerm()) {
      return "unheard";
    }
    return host.isCordoned() ? "cordoned" : "up";
  }

  /** A machine as a row of a listing. */
  private record MachineRow(Host host, String state, long nowMs)
      implements PagedListing.WritableRow {
    @Override
    public Object value(String field) {
      return switch (field) {
        case "id" -> host.id();
        case "type" -> host.type() == null ? null : host.type().name();
        case "zone" -> host.zone();
        case "spot" -> host.spot();
        case "state" -> state;
        case "cpus" -> host.type() == null ? 0.0 : host.type().cpus();
        case "used" -> host.cpusUsed();
        case "tasks" -> (double) taskCount();
        case "age" -> ageS();
        case "idle" -> idleS();
        case "drained" -> host.isDrainedByOperator();
        case "silent" -> silentS();
        default -> null;
      };
    }

    private int taskCount() {
      return (int) host.attempts().stream().filter(a -> !a.exited()).count();
    }

    private double ageS() {
      return host.rentedAt() == Long.MAX_VALUE ? 0 : (nowMs - host.rentedAt()) / 1000.0;
    }

    private double idleS() {
      return host.isIdle() ? (nowMs - host.idleSinceMs()) / 1000.0 : 0;
    }

    private double silentS() {
      return host.isUp() ? (nowMs - host.lastReachedAt()) / 1000.0 : 0;
    }

    @Override
    public void write(JsonGenerator generator) throws IOException {
      generator.writeStartObject();
      generator.writeStringField("id", host.id());
      generator.writeStringField("type", host.type() == null ? null : host.type().name());
      generator.writeStringField("zone", host.zone());
      generator.writeBooleanField("spot", host.spot());
      generator.writeStringField("state", state);
      generator.writeNumberField("cpus", host.type() == null ? 0.0 : host.type().cpus());
      generator.writeNumberField("used", host.cpusUsed());
      generator.writeNumberField("tasks", taskCount());
      generator.writeNumberField("age", ageS());
      generator.writeNumberField("idle", idleS());
      generator.writeBooleanField("drained", host.isDrainedByOperator());
      generator.writeNumberField("silent", silentS());
      generator.writeEndObject();
    }
  }

  void show(String id, Consumer<AdminResponse> done) {
    Host host = workers.findHost(id);
    if (host == null) {
      done.accept(AdminResponse.error(404, "no machine " + id));
      return;
    }
    ObjectNode object =
        asOf.newObject()
            .put("id", id)
            .put("state", stateOf(host))
            .put("type", host.type() == null ? null : host.type().name())
            .put("zone", host.zone())
            .put("spot", host.spot())
            .put("endpoint", host.endpoint())
            .put("session", host.session())
            .put("cpus", host.type() == null ? 0 : host.type().cpus())
            .put("used", host.cpusUsed())
            .put("memory_gb", host.type() == null ? 0 : host.type().memoryGb())
            .put("memory_used_gb", host.memoryUsedGb())
            .put("slowness", host.slowness())
            .put("orders_waiting", host.queuedCommands());
    if (host.hasReclaimNotice()) {
      object.put("taken_in_s", Math.max(0, host.reclaimAt() - clock.now()) / 1000.0);
    }
    Drain drain = drains.drainOf(host);
    if (drain != null) {
      object.set("drain", drainJson(drain, drains.progress(host)));
    }
    ArrayNode tasks = object.putArray("tasks");
    host.attempts().stream()
        .sorted(Comparator.comparing(Attempt::key))
        .forEach(a -> tasks.add(jobs.attemptJson(a)));
    done.accept(AdminResponse.of(object));
  }

  /**
   * Returns a drain as JSON.
   *
   * @param progress what is left on the drained machine, or null for a zone or an unknown machine
   */
  static ObjectNode drainJson(Drain drain, DrainExecutor.DrainProgress progress) {
    ObjectNode object =
        Json.object()
            .put("by", drain.orderedBy())
            .put("at", drain.orderedAtWallMs())
            .put("why", drain.reason())
            .put("return", drain.returnToCloud());
    if (drain.deadlineS() > 0) {
      object.put("deadline_s", drain.deadlineS());
    }
    if (progress != null) {
      object
          .put("tasks_left", progress.taskCount())
          .put("replicas_left", progress.replicaCount())
          .put("replicas_held", progress.waitingReplicas());
      if (progress.blockedReason() != null) {
        object.put("because", progress.blockedReason());
      }
    }
    return object;
  }

  /** Returns all drains, including those of machines that are not known yet. */
  ObjectNode drains() {
    ObjectNode object = asOf.newObject();
    ArrayNode rows = object.putArray("rows");
    drains.zones().forEach((zone, drain) -> rows.add(drainJson(drain, null).put("zone", zone)));
    drains
        .machines()
        .forEach(
            (id, drain) -> {
              Host host = workers.findHost(id);
              rows.add(
                  drainJson(drain, host == null ? null : drains.progress(host)).put("machine", id));
            });
    return object;
  }
}
