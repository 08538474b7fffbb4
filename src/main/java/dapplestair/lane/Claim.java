package dapplestair.lane;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * Room on one machine for some of a rider's tasks, and whose attempts have to go for it.
 *
 * @param victims attempts, as task and number
 */
record Claim(String ref, String host, int tasks, List<String> victims) {
  private static final int SEPARATOR = '#';

  static String victim(String key, long number) {
    return key + (char) SEPARATOR + number;
  }

  static String key(String victim) {
    return victim.substring(0, victim.lastIndexOf(SEPARATOR));
  }

  static long number(String victim) {
    return Long.parseLong(victim.substring(victim.lastIndexOf(SEPARATOR) + 1));
  }

  ObjectNode toJson() {
    ObjectNode object = Json.object().put("ref", ref).put("host", host).put("tasks", tasks);
    ArrayNode list = object.putArray("victims");
    victims.forEach(list::add);
    return object;
  }

  static Claim parse(JsonNode in) {
    List<String> victims = new ArrayList<>();
    in.path("victims").forEach(v -> victims.add(v.asText()));
    return new Claim(
        in.path("ref").asText(), in.path("host").asText(), in.path("tasks").asInt(), victims);
  }
}
