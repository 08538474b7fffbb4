package dapplestair.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.drain.Drain;
import dapplestair.drain.Drains;
import dapplestair.drain.Emptying;
import dapplestair.filter.Filter;
import dapplestair.json.Json;
import dapplestair.ledger.Attempt;
import dapplestair.ports.Clock;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerDesk;
import java.io.IOException;
import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.Consumer;

/** Machines as operators see them; only a leader knows them. */
final class MachineViews {
  private final Clock clock;
  private final WorkerDesk desk;
  private final Drains drains;
  private final JobViews jobs;
  private final Moment moment;
  private final Pages pages;

  MachineViews(
      Clock clock, WorkerDesk desk, Drains drains, JobViews jobs, Moment moment, Pages pages) {
    this.clock = clock;
    this.desk = desk;
    this.drains = drains;
    this.jobs = jobs;
    this.moment = moment;
    this.pages = pages;
  }

  void list(Filter filter, String after, int limit, Consumer<Answer> done) {
    TreeSet<String> names = new TreeSet<>();
    desk.hosts().forEach(h -> names.add(h.id()));
    pages.read(names, this::row, filter, after, limit, done);
  }

  private Pages.Written row(String id) {
    Host h = desk.known(id);
    return h == null ? null : new MachineRow(h, state(h), clock.now());
  }

  /** One word for what matters most about a machine. */
  String state(Host h) {
    if (h.releasing()) {
      return "returning";
    }
    if (h.outOfReach()) {
      return "silent";
    }
    if (!h.up()) {
      return "booting";
    }
    if (h.drained()) {
      return h.idle() ? "drained" : "draining";
    }
    if (h.draining()) {
      return "faulty";
    }
    if (h.recalled()) {
      return "notice";
    }
    if (!h.acknowledged()) {
      return "unheard";
    }
    return h.cordoned() ? "cordoned" : "up";
  }

  /** One row of a listing. */
  private record MachineRow(Host host, String state, long now) implements Pages.Written {
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
        case "drained" -> host.drained();
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
      return host.idle() ? (now - host.idleSince()) / 1000.0 : 0;
    }

    private double silent() {
      return host.up() ? (now - host.heardAt()) / 1000.0 : 0;
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
      out.writeBooleanField("drained", host.drained());
      out.writeNumberField("silent", silent());
      out.writeEndObject();
    }
  }

  void show(String id, Consumer<Answer> done) {
    Host h = desk.known(id);
    if (h == null) {
      done.accept(Answer.error(404, "no machine " + id));
      return;
    }
    ObjectNode o =
        moment
            .object()
            .put("id", id)
            .put("state", state(h))
            .put("type", h.type() == null ? null : h.type().name())
            .put("zone", h.zone())
            .put("spot", h.spot())
            .put("endpoint", h.endpoint())
            .put("session", h.session())
            .put("cpus", h.type() == null ? 0 : h.type().cpus())
            .put("used", h.cpusUsed())
            .put("memory_gb", h.type() == null ? 0 : h.type().memoryGb())
            .put("memory_used_gb", h.memoryUsed())
            .put("slowness", h.slowness())
            .put("orders_waiting", h.queued());
    if (h.recalled()) {
      o.put("taken_in_s", Math.max(0, h.recallAt() - clock.now()) / 1000.0);
    }
    Drain d = drains.of(h);
    if (d != null) {
      o.set("drain", drain(d, drains.progress(h)));
    }
    ArrayNode tasks = o.putArray("tasks");
    h.attempts().stream()
        .sorted(Comparator.comparing(Attempt::key))
        .forEach(a -> tasks.add(jobs.attempt(a)));
    done.accept(Answer.of(o));
  }

  /** An order to empty something; {@code left} may be null. */
  static ObjectNode drain(Drain d, Emptying.Progress left) {
    ObjectNode o =
        Json.object()
            .put("by", d.by())
            .put("at", d.atWall())
            .put("why", d.why())
            .put("return", d.giveBack());
    if (d.deadlineS() > 0) {
      o.put("deadline_s", d.deadlineS());
    }
    if (left != null) {
      o.put("tasks_left", left.tasks())
          .put("replicas_left", left.services())
          .put("replicas_held", left.held());
      if (left.because() != null) {
        o.put("because", left.because());
      }
    }
    return o;
  }

  /** All drains, also those whose machines are not known yet. */
  ObjectNode drains() {
    ObjectNode o = moment.object();
    ArrayNode list = o.putArray("rows");
    drains.zones().forEach((zone, d) -> list.add(drain(d, null).put("zone", zone)));
    drains
        .machines()
        .forEach(
            (id, d) -> {
              Host h = desk.known(id);
              list.add(drain(d, h == null ? null : drains.progress(h)).put("machine", id));
            });
    return o;
  }
}
