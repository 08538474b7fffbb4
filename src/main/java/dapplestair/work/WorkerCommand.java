package dapplestair.work;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.Collection;

/** One command to a worker. */
public sealed interface WorkerCommand {
  /** The task, as in reports. */
  String key();

  /** Which attempt at it. */
  long attempt();

  /** The wire form. */
  ObjectNode toJson();

  /** The same for the same order, so that repeating it does not queue it twice. */
  default String id() {
    return getClass().getSimpleName() + key() + "#" + attempt();
  }

  /** Start this attempt. */
  record Launch(String key, long attempt) implements WorkerCommand {
    @Override
    public ObjectNode toJson() {
      return commandJson("launch", this);
    }
  }

  /** Stop this attempt, leaving it {@code windDownS} to save. */
  record Halt(String key, long attempt, double windDownS) implements WorkerCommand {
    @Override
    public ObjectNode toJson() {
      return commandJson("halt", this).put("windDownS", windDownS);
    }
  }

  /** Take an exited attempt out of the reports. */
  record Clear(String key, long attempt) implements WorkerCommand {
    @Override
    public ObjectNode toJson() {
      return commandJson("clear", this);
    }
  }

  /** Orders under a token, as the answer to a report; a call names the session as well. */
  static ObjectNode message(long token, Collection<? extends WorkerCommand> commands) {
    ObjectNode message = Json.object().put("baton", token);
    ArrayNode list = message.putArray("orders");
    commands.forEach(command -> list.add(command.toJson()));
    return message;
  }

  /** The same as a call to a worker in a session. */
  static ObjectNode callMessage(
      long token, long session, Collection<? extends WorkerCommand> commands) {
    return message(token, commands).put("tenure", session);
  }

  private static ObjectNode commandJson(String verb, WorkerCommand command) {
    return Json.object().put("verb", verb).put("step", command.key()).put("try", command.attempt());
  }
}
