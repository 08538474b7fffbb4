package dapplestair.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.drain.Drain;
import dapplestair.drain.Drains;
import dapplestair.json.Json;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.state.ConditionalWriter;
import dapplestair.state.StateKeys;
import dapplestair.workers.WorkerManager;
import java.util.function.Consumer;

/** Orders to empty machines and zones, and to take them back. */
final class DrainHandler {
  private static final int LONGEST_WHY = 200;
  private static final long PATIENCE_MS = 2000;

  private final Clock clock;
  private final Settings settings;
  private final WorkerManager workers;
  private final Drains drains;
  private final AsOfStamp asOf;

  DrainHandler(
      Clock clock, Settings settings, WorkerManager workers, Drains drains, AsOfStamp asOf) {
    this.clock = clock;
    this.settings = settings;
    this.workers = workers;
    this.drains = drains;
    this.asOf = asOf;
  }

  void machine(AdminRequest request, String id, boolean on, Consumer<AdminResponse> done)
      throws AdminRequest.BadRequestException {
    // A drain may outlive its machine for a moment; it can be ended all the same.
    if (workers.findHost(id) == null && !drains.machines().containsKey(id)) {
      done.accept(AdminResponse.error(404, "no machine " + id));
      return;
    }
    order(
        "machine",
        id,
        StateKeys.DRAIN + id,
        drains.machines().get(id),
        on ? drain(request) : null,
        done);
  }

  void zone(AdminRequest request, String zone, boolean on, Consumer<AdminResponse> done)
      throws AdminRequest.BadRequestException {
    if (!settings.zones().contains(zone)) {
      done.accept(AdminResponse.error(404, "no zone " + zone));
      return;
    }
    order(
        "zone",
        zone,
        StateKeys.DRAIN_ZONE + zone,
        drains.zones().get(zone),
        on ? drain(request) : null,
        done);
  }

  private Drain drain(AdminRequest request) throws AdminRequest.BadRequestException {
    String why = Json.text(request.body(), "why");
    if (why != null && why.length() > LONGEST_WHY) {
      throw new AdminRequest.BadRequestException(
          "why: must have at most " + LONGEST_WHY + " characters");
    }
    double deadline = Json.decimal(request.body(), "deadline_s", 0);
    if (deadline < 0 || deadline > 1e7) {
      throw new AdminRequest.BadRequestException("deadline_s: must be a number from 0 to 1e7");
    }
    return new Drain(
        request.caller().name(),
        clock.wall(),
        why == null ? "" : why,
        Json.flag(request.body(), "return"),
        deadline);
  }

  private void order(
      String what,
      String name,
      String key,
      Drain before,
      Drain drain,
      Consumer<AdminResponse> done) {
    drains.recordOrder(
        key,
        drain,
        clock.now() + PATIENCE_MS,
        result -> done.accept(answer(what, name, before, drain, result)));
  }

  private AdminResponse answer(
      String what, String name, Drain before, Drain drain, ConditionalWriter.Result result) {
    return switch (result) {
      case DONE -> {
        ObjectNode object = asOf.object().put(what, name).put("drained", drain != null);
        object.put("changed", (before == null) != (drain == null));
        yield AdminResponse.of(object);
      }
      case CHANGED ->
          AdminResponse.error(409, what + " " + name + " was changed by somebody else just now");
      case REFUSED ->
          AdminResponse.later("the state service takes no changes now: nothing was changed");
      case UNKNOWN ->
          AdminResponse.later(
              "the state service did not answer: whether it is recorded is not known");
    };
  }
}
