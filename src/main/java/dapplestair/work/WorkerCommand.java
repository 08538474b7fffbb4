package dapplestair.work;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.Collection;

/** A command to a worker. */
public sealed interface WorkerCommand {
  /** Returns the key of the task, as in reports. */
  String key();

  /** Returns the number of the attempt at the task. */
  long attempt();

  /** Returns the form of this command on the wire. */
  ObjectNode toJson();

  /**
   * Returns an id that is equal for equal commands, so that a repeated command is not queued twice.
   */
  default String id() {
    return getClass().getSimpleName() + key() + "#" + attempt();
  }

  /** Starts this attempt. */
  record Launch(String key, long attempt) implements WorkerCommand {
    @Override
    public ObjectNode toJson() {
      return commandJson("launch", this);
    }
  }

  /** Stops this attempt, leaving it {@code windDownS} seconds to save its progress. */
  record Halt(String key, long attempt, double windDownS) implements WorkerCommand {
    @Override
    public ObjectNode toJson() {
      return commandJson("halt", this).put("windDownS", windDownS);
    }
  }

  /** Drops an exited attempt from the worker's reports. */
  record Clear(String key, long attempt) implements WorkerCommand {
    @Override
    public ObjectNode toJson() {
      return commandJson("clear", this);
    }
  }

  /**
   * Returns a message with commands under a fencing token, as the answer to a report. A call to a
   * worker names the session as well.
   */
  static ObjectNode message(long token, Collection<? extends WorkerCommand> commands) {
    ObjectNode message = Json.object().put("baton", token);
    ArrayNode list = message.putArray("orders");
    commands.forEach(command -> list.add(command.toJson()));
    return message;
  }

  /** Returns the same message as a call to a worker in a session. */
  static ObjectNode callMessage(
      long token, long session, Collection<? extends WorkerCommand> commands) {
    return message(token, commands).put("tenure", session);
  }

  private static ObjectNode commandJson(String verb, WorkerCommand command) {
    return Json.object().put("verb", verb).put("step", command.key()).put("try", command.attempt());
  }
}
