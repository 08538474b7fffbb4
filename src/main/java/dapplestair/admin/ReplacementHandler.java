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

/** Orders to replace machines: given, paused, taken up again, aborted, looked at. */
final class ReplacementHandler {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,39}");
  private static final int LONGEST_WHY = 200;
  private static final int MOST_ORDERS = 32;
  private static final int MOST_NAMES = 200;
  private static final long PATIENCE_MS = 2000;
  private static final long AGAIN_MS = 150;

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

  // ---- looking ----

  ObjectNode list() {
    ObjectNode object = asOf.object();
    ArrayNode rows = object.putArray("rows");
    replacements.views().forEach(v -> rows.add(row(v)));
    return object;
  }

  void show(String name, Consumer<AdminResponse> done) {
    ReplacementView view = replacements.view(name);
    done.accept(view == null ? missing(name) : AdminResponse.of(asOf.object().setAll(row(view))));
  }

  private static AdminResponse missing(String name) {
    return AdminResponse.error(404, "no replacement " + name);
  }

  private static ObjectNode row(ReplacementView view) {
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
    MachineSelector selection = order.selector();
    if (selection.zone() != null) {
      object.put("zone", selection.zone());
    }
    if (selection.type() != null) {
      object.put("type", selection.type());
    }
    if (selection.spot() != null) {
      object.put("spot", selection.spot());
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
    ReplacementOrder order = order(request);
    ReplacementView before = replacements.view(name);
    if (before != null && order.isSameAs(before.order())) {
      done.accept(told(name, before.phase(), false));
    } else if (before != null && !before.phase().equals("done")) {
      done.accept(
          AdminResponse.error(409, "replacement " + name + " is another order, and not done"));
    } else if (order.totalMachines() == 0) {
      throw new AdminRequest.BadRequestException(
          "select = " + select(request.body()) + ": matches no machine");
    } else if (before == null && replacements.views().size() >= MOST_ORDERS) {
      done.accept(
          AdminResponse.error(409, "there are " + MOST_ORDERS + " replacements: abort some"));
    } else {
      record(name, () -> Replacements.newOrderRecord(order), "choose", done);
    }
  }

  void pause(AdminRequest request, String name, Consumer<AdminResponse> done)
      throws AdminRequest.BadRequestException {
    String why = why(request.body());
    String words = "by " + request.caller().name() + (why.isEmpty() ? "" : ": " + why);
    change(name, () -> replacements.pausedOrResumedRecord(name, words), "paused", done);
  }

  void resume(String name, Consumer<AdminResponse> done) {
    change(name, () -> replacements.pausedOrResumedRecord(name, null), "resumed", done);
  }

  /** What is still old goes back into use. */
  void abort(String name, Consumer<AdminResponse> done) {
    change(name, () -> null, "aborted", done);
  }

  private void change(
      String name, Supplier<ObjectNode> value, String state, Consumer<AdminResponse> done) {
    if (replacements.view(name) == null) {
      done.accept(missing(name));
    } else {
      record(name, value, state, done);
    }
  }

  private void record(
      String name, Supplier<ObjectNode> value, String state, Consumer<AdminResponse> done) {
    record(name, value, state, clock.now() + PATIENCE_MS, done);
  }

  /** The leader writes to the same record as it goes on: then the wish is put to it once more. */
  private void record(
      String name,
      Supplier<ObjectNode> value,
      String state,
      long deadline,
      Consumer<AdminResponse> done) {
    conditionalWriter.write(
        StateKeys.REPLACEMENT + name,
        value.get(),
        deadline,
        result -> {
          if (result == ConditionalWriter.Result.CHANGED && clock.now() < deadline) {
            timers.after(AGAIN_MS, () -> record(name, value, state, deadline, done));
          } else {
            done.accept(answer(name, state, result));
          }
        });
  }

  private AdminResponse answer(String name, String state, ConditionalWriter.Result result) {
    return switch (result) {
      case DONE -> told(name, state, true);
      case CHANGED -> AdminResponse.error(409, "replacement " + name + " was changed just now");
      case REFUSED ->
          AdminResponse.later("the state service takes no changes now: nothing was changed");
      case UNKNOWN ->
          AdminResponse.later(
              "the state service did not answer: whether it is recorded is not known");
    };
  }

  private AdminResponse told(String name, String state, boolean changed) {
    return AdminResponse.of(
        asOf.object().put("name", name).put("state", state).put("changed", changed));
  }

  // ---- what is asked for ----

  private ReplacementOrder order(AdminRequest request) throws AdminRequest.BadRequestException {
    JsonNode node = request.body();
    long now = clock.wall();
    MachineSelector selection = selection(node, now);
    int total = replacements.countMatching(selection);
    double ratio = number(node, "step_ratio", 0, 0, 1);
    double usual = ratio > 0 ? Math.max(1, Math.min(MOST_NAMES, Math.ceil(ratio * total))) : 1;
    int step = (int) number(node, "step", usual, 1, MOST_NAMES);
    if (node.has("step_ratio") && (ratio == 0 || node.has("step"))) {
      throw new AdminRequest.BadRequestException(
          "step_ratio = " + node.get("step_ratio") + ": must be above 0, and stand without step");
    }
    return new ReplacementOrder(
        request.caller().name(),
        now,
        why(node),
        selection,
        total,
        step,
        ratio,
        (int) number(node, "beyond", 0, 0, MOST_NAMES),
        number(node, "watch_s", 2 * settings.workers().reportMs() / 1000.0, 0, 1e6),
        number(node, "deadline_s", 0, 0, 1e7),
        number(node, "slower", 1.5, 1, 100));
  }

  private static ObjectNode select(JsonNode node) {
    ObjectNode object = Json.object();
    for (String field : new String[] {"zone", "type", "spot", "older_s", "machines"}) {
      if (node.has(field)) {
        object.set(field, node.get(field));
      }
    }
    return object;
  }

  private MachineSelector selection(JsonNode node, long now)
      throws AdminRequest.BadRequestException {
    String zone = Json.text(node, "zone");
    if (zone != null && !settings.zones().contains(zone)) {
      throw new AdminRequest.BadRequestException("zone = \"" + zone + "\": no such zone");
    }
    String type = Json.text(node, "type");
    if (type != null && types.get(type) == null) {
      throw new AdminRequest.BadRequestException("type = \"" + type + "\": no such type");
    }
    if (node.has("spot") && !node.get("spot").isBoolean()) {
      throw new AdminRequest.BadRequestException(
          "spot = " + node.get("spot") + ": must be true or false");
    }
    Set<String> names = new TreeSet<>();
    node.path("machines").forEach(n -> names.add(n.asText()));
    if (names.size() > MOST_NAMES) {
      throw new AdminRequest.BadRequestException("machines: must be at most " + MOST_NAMES);
    }
    double olderS = number(node, "older_s", 0, 0, 1e9);
    if (zone == null && type == null && !node.has("spot") && names.isEmpty() && olderS == 0) {
      throw new AdminRequest.BadRequestException(
          "select = {}: name a zone, a type, a kind, an age or machines");
    }
    long before = olderS > 0 ? now - Math.round(1000 * olderS) : 0;
    return new MachineSelector(
        zone, type, node.has("spot") ? node.get("spot").asBoolean() : null, before, names);
  }

  private static String why(JsonNode node) throws AdminRequest.BadRequestException {
    String why = Json.text(node, "why");
    if (why != null && why.length() > LONGEST_WHY) {
      throw new AdminRequest.BadRequestException(
          "why: must have at most " + LONGEST_WHY + " characters");
    }
    return why == null ? "" : why;
  }

  private static double number(
      JsonNode node, String field, double otherwise, double low, double high)
      throws AdminRequest.BadRequestException {
    if (!node.has(field)) {
      return otherwise;
    }
    JsonNode v = node.get(field);
    if (!v.isNumber() || !(v.asDouble() >= low && v.asDouble() <= high)) {
      throw new AdminRequest.BadRequestException(
          "%s = %s: must be a number from %s to %s".formatted(field, v, show(low), show(high)));
    }
    return v.asDouble();
  }

  private static String show(double v) {
    return v == Math.rint(v) ? Long.toString((long) v) : Double.toString(v);
  }
}
