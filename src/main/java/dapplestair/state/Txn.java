package dapplestair.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;

/** Builds a transaction for the state service. */
public final class Txn {
  private final ArrayNode conditions = Json.array();
  private final ArrayNode writes = Json.array();

  /** Adds the condition that {@code key} has this stamp; 0 means that it does not exist. */
  public Txn when(String key, long stamp) {
    conditions.addObject().put("k", key).put("stamp", stamp);
    return this;
  }

  /** Adds a write of a value. */
  public Txn put(String key, JsonNode value) {
    writes.addObject().put("put", key).set("value", value);
    return this;
  }

  /** Adds a write of a value that exists as long as the hold. */
  public Txn put(String key, JsonNode value, long hold) {
    ObjectNode object = writes.addObject().put("put", key);
    object.set("value", value);
    object.put("hold", hold);
    return this;
  }

  /** Adds the removal of a key. */
  public Txn remove(String key) {
    writes.addObject().put("remove", key);
    return this;
  }

  /** Returns the number of puts and removals. */
  public int size() {
    return writes.size();
  }

  byte[] toBytes() {
    ObjectNode body = Json.object();
    body.set("when", conditions);
    body.set("writes", writes);
    return Json.bytes(body);
  }
}
