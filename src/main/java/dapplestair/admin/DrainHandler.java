package dapplestair.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.drain.Drain;
import dapplestair.drain.Drains;
import dapplestair.json.Json;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.state.Keys;
import dapplestair.state.Wishes;
import dapplestair.workers.WorkerManager;
import java.util.function.Consumer;

/** Orders to empty machines and zones, and to take them back. */
final class DrainHandler {
  private static final int LONGEST_WHY = 200;
  private static final long PATIENCE_MS = 2000;

  private final Clock clock;
  private final Settings settings;
  private final WorkerManager desk;
  private final Drains drains;
  private final Moment moment;

  DrainHandler(Clock clock, Settings settings, WorkerManager desk, Drains drains, Moment moment) {
    this.clock = clock;
    this.settings = settings;
    this.desk = desk;
    this.drains = drains;
    this.moment = moment;
  }

  void machine(Question question, String id, boolean on, Consumer<Answer> done)
      throws Question.BadRequest {
    // A drain may outlive its machine for a moment; it can be ended all the same.
    if (desk.known(id) == null && !drains.machines().containsKey(id)) {
      done.accept(Answer.error(404, "no machine " + id));
      return;
    }
    order(
        "machine",
        id,
        Keys.DRAIN + id,
        drains.machines().get(id),
        on ? drain(question) : null,
        done);
  }

  void zone(Question question, String zone, boolean on, Consumer<Answer> done)
      throws Question.BadRequest {
    if (!settings.zones().contains(zone)) {
      done.accept(Answer.error(404, "no zone " + zone));
      return;
    }
    order(
        "zone",
        zone,
        Keys.DRAIN_ZONE + zone,
        drains.zones().get(zone),
        on ? drain(question) : null,
        done);
  }

  private Drain drain(Question question) throws Question.BadRequest {
    String why = Json.text(question.body(), "why");
    if (why != null && why.length() > LONGEST_WHY) {
      throw new Question.BadRequest("why: must have at most " + LONGEST_WHY + " characters");
    }
    double deadline = Json.decimal(question.body(), "deadline_s", 0);
    if (deadline < 0 || deadline > 1e7) {
      throw new Question.BadRequest("deadline_s: must be a number from 0 to 1e7");
    }
    return new Drain(
        question.caller().name(),
        clock.wall(),
        why == null ? "" : why,
        Json.flag(question.body(), "return"),
        deadline);
  }

  private void order(
      String what, String name, String key, Drain before, Drain drain, Consumer<Answer> done) {
    drains.order(
        key,
        drain,
        clock.now() + PATIENCE_MS,
        result -> done.accept(answer(what, name, before, drain, result)));
  }

  private Answer answer(String what, String name, Drain before, Drain drain, Wishes.Result result) {
    return switch (result) {
      case DONE -> {
        ObjectNode object = moment.object().put(what, name).put("drained", drain != null);
        object.put("changed", (before == null) != (drain == null));
        yield Answer.of(object);
      }
      case CHANGED ->
          Answer.error(409, what + " " + name + " was changed by somebody else just now");
      case REFUSED -> Answer.later("the state service takes no changes now: nothing was changed");
      case UNKNOWN ->
          Answer.later("the state service did not answer: whether it is recorded is not known");
    };
  }
}
