package dapplestair.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;

/** A transaction being put together. */
public final class Txn {
  private final ArrayNode conditions = Json.array();
  private final ArrayNode writes = Json.array();

  /** Only if {@code key} has this stamp; 0: does not exist. */
  public Txn when(String key, long stamp) {
    conditions.addObject().put("k", key).put("stamp", stamp);
    return this;
  }

  /** Writes a value. */
  public Txn put(String key, JsonNode value) {
    writes.addObject().put("put", key).set("value", value);
    return this;
  }

  /** Writes a value that lasts as long as the hold. */
  public Txn put(String key, JsonNode value, long hold) {
    ObjectNode object = writes.addObject().put("put", key);
    object.set("value", value);
    object.put("hold", hold);
    return this;
  }

  /** Deletes a key. */
  public Txn remove(String key) {
    writes.addObject().put("remove", key);
    return this;
  }

  /** Number of puts and deletes. */
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
