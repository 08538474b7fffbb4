package dapplestair.lane;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * Capacity on one machine for some of a rider's tasks, with the attempts to evict for it.
 *
 * @param victims attempts to evict, each as its task's key and its attempt number
 */
record Claim(String ref, String host, int tasks, List<String> victims) {
  private static final int SEPARATOR = '#';

  static String formatVictim(String taskKey, long attemptNumber) {
    return taskKey + (char) SEPARATOR + attemptNumber;
  }

  static String victimTaskKey(String victim) {
    return victim.substring(0, victim.lastIndexOf(SEPARATOR));
  }

  static long victimAttemptNumber(String victim) {
    return Long.parseLong(victim.substring(victim.lastIndexOf(SEPARATOR) + 1));
  }

  ObjectNode toJson() {
    ObjectNode object = Json.object().put("ref", ref).put("host", host).put("tasks", tasks);
    ArrayNode victimsArray = object.putArray("victims");
    victims.forEach(victimsArray::add);
    return object;
  }

  static Claim parse(JsonNode json) {
    List<String> victims = new ArrayList<>();
    json.path("victims").forEach(v -> victims.add(v.asText()));
    return new Claim(
        json.path("ref").asText(), json.path("host").asText(), json.path("tasks").asInt(), victims);
  }
}
