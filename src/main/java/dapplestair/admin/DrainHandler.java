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

/** Handles requests to drain machines and zones and to end such drains. */
final class DrainHandler {
  private static final int MAX_REASON_CHARACTERS = 200;
  private static final long WRITE_TIMEOUT_MS = 2000;

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

  /** Starts a drain of a machine, or ends it if {@code isDrain} is false. */
  void changeMachineDrain(
      AdminRequest request, String id, boolean isDrain, Consumer<AdminResponse> done)
      throws AdminRequest.BadRequestException {
    // The record of a drain may outlive its machine for a moment; such a drain can still be ended.
    if (workers.findHost(id) == null && !drains.machines().containsKey(id)) {
      done.accept(AdminResponse.error(404, "no machine " + id));
      return;
    }
    writeDrain(
        "machine",
        id,
        StateKeys.DRAIN + id,
        drains.machines().get(id),
        isDrain ? parseDrain(request) : null,
        done);
  }

  /** Starts a drain of a zone, or ends it if {@code isDrain} is false. */
  void changeZoneDrain(
      AdminRequest request, String zone, boolean isDrain, Consumer<AdminResponse> done)
      throws AdminRequest.BadRequestException {
    if (!settings.zones().contains(zone)) {
      done.accept(AdminResponse.error(404, "no zone " + zone));
      return;
    }
    writeDrain(
        "zone",
        zone,
        StateKeys.DRAIN_ZONE + zone,
        drains.zones().get(zone),
        isDrain ? parseDrain(request) : null,
        done);
  }

  private Drain parseDrain(AdminRequest request) throws AdminRequest.BadRequestException {
    String reason = Json.text(request.body(), "why");
    if (reason != null && reason.length() > MAX_REASON_CHARACTERS) {
      throw new AdminRequest.BadRequestException(
          "why: must have at most " + MAX_REASON_CHARACTERS + " characters");
    }
    double deadlineS = Json.decimal(request.body(), "deadline_s", 0);
    if (deadlineS < 0 || deadlineS > 1e7) {
      throw new AdminRequest.BadRequestException("deadline_s: must be a number from 0 to 1e7");
    }
    return new Drain(
        request.caller().name(),
        clock.wall(),
        reason == null ? "" : reason,
        Json.flag(request.body(), "return"),
        deadlineS);
  }

  private void writeDrain(
      String targetKind,
      String name,
      String key,
      Drain previous,
      Drain drain,
      Consumer<AdminResponse> done) {
    drains.recordOrder(
        key,
        drain,
        clock.now() + WRITE_TIMEOUT_MS,
        result -> done.accept(responseFor(targetKind, name, previous, drain, result)));
  }

  private AdminResponse responseFor(
      String targetKind,
      String name,
      Drain previous,
      Drain drain,
      ConditionalWriter.Result result) {
    return switch (result) {
      case DONE -> {
        ObjectNode object = asOf.newObject().put(targetKind, name).put("drained", drain != null);
        object.put("changed", (previous == null) != (drain == null));
        yield AdminResponse.of(object);
      }
      case CHANGED ->
          AdminResponse.error(
              409, targetKind + " " + name + " was changed by somebody else just now");
      case REFUSED ->
          AdminResponse.retryLater("the state service takes no changes now: nothing was changed");
      case UNKNOWN ->
          AdminResponse.retryLater(
              "the state service did not answer: whether it is recorded is not known");
    };
  }
}
