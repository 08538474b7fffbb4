package dapplestair.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import dapplestair.replacement.MachineSelector;
import dapplestair.replacement.ReplacementOrder;
import dapplestair.replacement.Replacements;
import dapplestair.replacement.Replacements.ReplacementView;
import dapplestair.settings.Settings;
import dapplestair.state.ConditionalWriter;
import dapplestair.state.StateKeys;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Pattern;

/** Handles requests to start, pause, resume, abort, list and show orders to replace machines. */
final class ReplacementHandler {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,39}");
  private static final int MAX_REASON_CHARACTERS = 200;
  private static final int MAX_ORDERS = 32;
  private static final int MAX_MACHINES = 200;
  private static final long WRITE_TIMEOUT_MS = 2000;
  private static final long WRITE_RETRY_MS = 150;

  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final MachineTypes types;
  private final Replacements replacements;
  private final ConditionalWriter conditionalWriter;
  private final AsOfStamp asOf;

  ReplacementHandler(ControllerComponents components, AsOfStamp asOf) {
    this.clock = components.clock();
    this.timers = components.timers();
    this.settings = components.settings();
    this.types = components.types();
    this.replacements = components.replacements();
    this.conditionalWriter = components.conditionalWriter();
    this.asOf = asOf;
  }

  // ---- views ----

  ObjectNode list() {
    ObjectNode object = asOf.newObject();
    ArrayNode rows = object.putArray("rows");
    replacements.views().forEach(view -> rows.add(toRow(view)));
    return object;
  }

  void show(String name, Consumer<AdminResponse> done) {
    ReplacementView view = replacements.view(name);
    done.accept(
        view == null ? notFound(name) : AdminResponse.of(asOf.newObject().setAll(toRow(view))));
  }

  private static AdminResponse notFound(String name) {
    return AdminResponse.error(404, "no replacement " + name);
  }

  private static ObjectNode toRow(ReplacementView view) {
    ReplacementOrder order = view.order();
    String state = view.pauseReason() != null ? "paused" : view.phase();
    ObjectNode object =
        Json.object()
            .put("name", view.name())
            .put("state", state)
            .put("phase", view.phase())
            .put("replaced", Math.max(0, order.totalMachines() - view.remainingMachines()))
            .put("total", order.totalMachines())
            .put("steps", view.stepsBegun())
            .put("step", order.maxPerStep())
            .put("beyond", order.maxSurge())
            .put("watch_s", order.watchS())
            .put("slower", order.maxSlowdown())
            .put("by", order.orderedBy())
            .put("at", order.orderedAtWallMs())
            .put("why", order.reason());
    if (order.deadlineS() > 0) {
      object.put("deadline_s", order.deadlineS());
    }
    MachineSelector selector = order.selector();
    if (selector.zone() != null) {
      object.put("zone", selector.zone());
    }
    if (selector.type() != null) {
      object.put("type", selector.type());
    }
    if (selector.spot() != null) {
      object.put("spot", selector.spot());
    }
    if (view.pauseReason() != null) {
      object
          .put("paused", view.pauseReason())
          .put("goes_on", view.operatorMustResume() ? "when told to" : "by itself");
    }
    if (view.remark() != null) {
      object.put("remark", view.remark());
    }
    if (view.expectedEndS() >= 0) {
      object.put("expected_end_s", Math.rint(view.expectedEndS()));
    }
    object.put("machines", String.join(" ", view.batch()));
    return object;
  }

  // ---- orders ----

  void start(AdminRequest request, String name, Consumer<AdminResponse> done)
      throws AdminRequest.BadRequestException {
    if (!NAME.matcher(name).matches()) {
      throw new AdminRequest.BadRequestException(
          "name = \"" + name + "\": must be up to 40 small letters, digits and hyphens");
    }
    ReplacementOrder order = parseOrder(request);
    ReplacementView existing = replacements.view(name);
    if (existing != null && order.isSameAs(existing.order())) {
      done.accept(stateResponse(name, existing.phase(), false));
    } else if (existing != null && !existing.phase().equals("done")) {
      done.accept(
          AdminResponse.error(409, "replacement " + name + " is another order, and not done"));
    } else if (order.totalMachines() == 0) {
      throw new AdminRequest.BadRequestException(
          "select = " + selectionFields(request.body()) + ": matches no machine");
    } else if (existing == null && replacements.views().size() >= MAX_ORDERS) {
      done.accept(
          AdminResponse.error(409, "there are " + MAX_ORDERS + " replacements: abort some"));
    } else {
      writeRecord(name, () -> Replacements.newOrderRecord(order), "choose", done);
    }
  }

  void pause(AdminRequest request, String name, Consumer<AdminResponse> done)
      throws AdminRequest.BadRequestException {
    String reason = parseReason(request.body());
    String pauseReason = "by " + request.caller().name() + (reason.isEmpty() ? "" : ": " + reason);
    changeExisting(
        name, () -> replacements.pausedOrResumedRecord(name, pauseReason), "paused", done);
  }

  void resume(String name, Consumer<AdminResponse> done) {
    changeExisting(name, () -> replacements.pausedOrResumedRecord(name, null), "resumed", done);
  }

  /** Deletes an order. Machines that have not been replaced yet go back into use. */
  void abort(String name, Consumer<AdminResponse> done) {
    changeExisting(name, () -> null, "aborted", done);
  }

  private void changeExisting(
      String name, Supplier<ObjectNode> value, String state, Consumer<AdminResponse> done) {
    if (replacements.view(name) == null) {
      done.accept(notFound(name));
    } else {
      writeRecord(name, value, state, done);
    }
  }

  private void writeRecord(
      String name, Supplier<ObjectNode> value, String state, Consumer<AdminResponse> done) {
    writeRecord(name, value, state, clock.now() + WRITE_TIMEOUT_MS, done);
  }

  /**
   * Writes the record of a replacement. The leader updates the same record as the replacement
   * proceeds; a write that conflicts with such an update is retried until the deadline.
   */
  private void writeRecord(
      String name,
      Supplier<ObjectNode> value,
      String state,
      long deadlineMs,
      Consumer<AdminResponse> done) {
    conditionalWriter.write(
        StateKeys.REPLACEMENT + name,
        value.get(),
        deadlineMs,
        result -> {
          if (result == ConditionalWriter.Result.CHANGED && clock.now() < deadlineMs) {
            timers.after(WRITE_RETRY_MS, () -> writeRecord(name, value, state, deadlineMs, done));
          } else {
            done.accept(responseFor(name, state, result));
          }
        });
  }

  private AdminResponse responseFor(String name, String state, ConditionalWriter.Result result) {
    return switch (result) {
      case DONE -> stateResponse(name, state, true);
      case CHANGED -> AdminResponse.error(409, "replacement " + name + " was changed just now");
      case REFUSED ->
          AdminResponse.retryLater("the state service takes no changes now: nothing was changed");
      case UNKNOWN ->
          AdminResponse.retryLater(
              "the state service did not answer: whether it is recorded is not known");
    };
  }

  private AdminResponse stateResponse(String name, String state, boolean changed) {
    return AdminResponse.of(
        asOf.newObject().put("name", name).put("state", state).put("changed", changed));
  }

  // ---- parsing requests ----

  private ReplacementOrder parseOrder(AdminRequest request)
      throws AdminRequest.BadRequestException {
    JsonNode body = request.body();
    long nowWallMs = clock.wall();
    MachineSelector selector = parseSelector(body, nowWallMs);
    int total = replacements.countMatching(selector);
    double stepRatio = parseNumber(body, "step_ratio", 0, 0, 1);
    double defaultStep =
        stepRatio > 0 ? Math.max(1, Math.min(MAX_MACHINES, Math.ceil(stepRatio * total))) : 1;
    int step = (int) parseNumber(body, "step", defaultStep, 1, MAX_MACHINES);
    if (body.has("step_ratio") && (stepRatio == 0 || body.has("step"))) {
      throw new AdminRequest.BadRequestException(
          "step_ratio = " + body.get("step_ratio") + ": must be above 0, and stand without step");
    }
    return new ReplacementOrder(
        request.caller().name(),
        nowWallMs,
        parseReason(body),
        selector,
        total,
        step,
        stepRatio,
        (int) parseNumber(body, "beyond", 0, 0, MAX_MACHINES),
        parseNumber(body, "watch_s", 2 * settings.workers().reportMs() / 1000.0, 0, 1e6),
        parseNumber(body, "deadline_s", 0, 0, 1e7),
        parseNumber(body, "slower", 1.5, 1, 100));
  }

  private static ObjectNode selectionFields(JsonNode body) {
    ObjectNode object = Json.object();
    for (String field : new String[] {"zone", "type", "spot", "older_s", "machines"}) {
      if (body.has(field)) {
        object.set(field, body.get(field));
      }
    }
    return object;
  }

  private MachineSelector parseSelector(JsonNode body, long nowWallMs)
      throws AdminRequest.BadRequestException {
    String zone = Json.text(body, "zone");
    if (zone != null && !settings.zones().contains(zone)) {
      throw new AdminRequest.BadRequestException("zone = \"" + zone + "\": no such zone");
    }
    String type = Json.text(body, "type");
    if (type != null && types.get(type) == null) {
      throw new AdminRequest.BadRequestException("type = \"" + type + "\": no such type");
    }
    if (body.has("spot") && !body.get("spot").isBoolean()) {
      throw new AdminRequest.BadRequestException(
          "spot = " + body.get("spot") + ": must be true or false");
    }
    Set<String> machineNames = new TreeSet<>();
    body.path("machines").forEach(nameNode -> machineNames.add(nameNode.asText()));
    if (machineNames.size() > MAX_MACHINES) {
      throw new AdminRequest.BadRequestException("machines: must be at most " + MAX_MACHINES);
    }
    double olderS = parseNumber(body, "older_s", 0, 0, 1e9);
    if (zone == null
        && type == null
        && !body.has("spot")
        && machineNames.isEmpty()
        && olderS == 0) {
      throw new AdminRequest.BadRequestException(
          "select = {}: name a zone, a type, a kind, an age or machines");
    }
    long rentedBeforeMs = olderS > 0 ? nowWallMs - Math.round(1000 * olderS) : 0;
    return new MachineSelector(
        zone,
        type,
        body.has("spot") ? body.get("spot").asBoolean() : null,
        rentedBeforeMs,
        machineNames);
  }

  private static String parseReason(JsonNode body) throws AdminRequest.BadRequestException {
    String reason = Json.text(body, "why");
    if (reason != null && reason.length() > MAX_REASON_CHARACTERS) {
      throw new AdminRequest.BadRequestException(
          "why: must have at most " + MAX_REASON_CHARACTERS + " characters");
    }
    return reason == null ? "" : reason;
  }

  private static double parseNumber(
      JsonNode body, String field, double defaultValue, double min, double max)
      throws AdminRequest.BadRequestException {
    if (!body.has(field)) {
      return defaultValue;
    }
    JsonNode value = body.get(field);
    if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
      throw new AdminRequest.BadRequestException(
          "%s = %s: must be a number from %s to %s"
              .formatted(field, value, formatNumber(min), formatNumber(max)));
    }
    return value.asDouble();
  }

  private static String formatNumber(double number) {
    return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
  }
}
