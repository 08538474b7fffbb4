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

/** Machines as operators see them; only a leader knows them. */
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
    workers.hosts().forEach(h -> names.add(h.id()));
    listing.read(names, this::row, filter, after, limit, done);
  }

  private PagedListing.WritableRow row(String id) {
    Host host = workers.findHost(id);
    return host == null ? null : new MachineRow(host, state(host), clock.now());
  }

  /** One word for what matters most about a machine. */
  String state(Host host) {
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

  /** One row of a listing. */
  private record MachineRow(Host host, String state, long now) implements PagedListing.WritableRow {
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
        case "tasks" -> (double) tasks();
        case "age" -> age();
        case "idle" -> idle();
        case "drained" -> host.isDrainedByOperator();
        case "silent" -> silent();
        default -> null;
      };
    }

    private int tasks() {
      return (int) host.attempts().stream().filter(a -> !a.exited()).count();
    }

    private double age() {
      return host.rentedAt() == Long.MAX_VALUE ? 0 : (now - host.rentedAt()) / 1000.0;
    }

    private double idle() {
      return host.isIdle() ? (now - host.idleSinceMs()) / 1000.0 : 0;
    }

    private double silent() {
      return host.isUp() ? (now - host.lastReachedAt()) / 1000.0 : 0;
    }

    @Override
    public void write(JsonGenerator out) throws IOException {
      out.writeStartObject();
      out.writeStringField("id", host.id());
      out.writeStringField("type", host.type() == null ? null : host.type().name());
      out.writeStringField("zone", host.zone());
      out.writeBooleanField("spot", host.spot());
      out.writeStringField("state", state);
      out.writeNumberField("cpus", host.type() == null ? 0.0 : host.type().cpus());
      out.writeNumberField("used", host.cpusUsed());
      out.writeNumberField("tasks", tasks());
      out.writeNumberField("age", age());
      out.writeNumberField("idle", idle());
      out.writeBooleanField("drained", host.isDrainedByOperator());
      out.writeNumberField("silent", silent());
      out.writeEndObject();
    }
  }

  void show(String id, Consumer<AdminResponse> done) {
    Host host = workers.findHost(id);
    if (host == null) {
      done.accept(AdminResponse.error(404, "no machine " + id));
      return;
    }
    ObjectNode object =
        asOf.object()
            .put("id", id)
            .put("state", state(host))
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
      object.set("drain", drain(drain, drains.progress(host)));
    }
    ArrayNode tasks = object.putArray("tasks");
    host.attempts().stream()
        .sorted(Comparator.comparing(Attempt::key))
        .forEach(a -> tasks.add(jobs.attempt(a)));
    done.accept(AdminResponse.of(object));
  }

  /** An order to empty something; {@code left} may be null. */
  static ObjectNode drain(Drain drain, DrainExecutor.DrainProgress left) {
    ObjectNode object =
        Json.object()
            .put("by", drain.orderedBy())
            .put("at", drain.orderedAtWallMs())
            .put("why", drain.reason())
            .put("return", drain.returnToCloud());
    if (drain.deadlineS() > 0) {
      object.put("deadline_s", drain.deadlineS());
    }
    if (left != null) {
      object
          .put("tasks_left", left.taskCount())
          .put("replicas_left", left.replicaCount())
          .put("replicas_held", left.waitingReplicas());
      if (left.blockedReason() != null) {
        object.put("because", left.blockedReason());
      }
    }
    return object;
  }

  /** All drains, also those whose machines are not known yet. */
  ObjectNode drains() {
    ObjectNode object = asOf.object();
    ArrayNode list = object.putArray("rows");
    drains.zones().forEach((zone, d) -> list.add(drain(d, null).put("zone", zone)));
    drains
        .machines()
        .forEach(
            (id, d) -> {
              Host host = workers.findHost(id);
              list.add(drain(d, host == null ? null : drains.progress(host)).put("machine", id));
            });
    return object;
  }
}
