package dapplestair.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.HashMap;
import java.util.Map;

/** A request of an operator. Controllers also forward it to the leader in this form. */
record AdminRequest(
    String method, String path, Map<String, String> params, JsonNode body, Caller caller) {

  static AdminRequest read(String method, String path, String query, byte[] body, Caller caller) {
    Map<String, String> params = new HashMap<>();
    // Of a parameter that is given more than once, the first value is used.
    new QueryStringDecoder(query, false).parameters().forEach((k, v) -> params.put(k, v.get(0)));
    return new AdminRequest(
        method, path, params, body.length == 0 ? Json.object() : Json.parse(body), caller);
  }

  /** Returns a query parameter, or null if it is missing. */
  String param(String name) {
    return params.get(name);
  }

  /**
   * Returns an integer query parameter, clamped to {@code min} and {@code max}, or the default
   * value if it is missing.
   */
  long boundedNumber(String name, long defaultValue, long min, long max)
      throws BadRequestException {
    String text = param(name);
    if (text == null) {
      return defaultValue;
    }
    try {
      return Math.max(min, Math.min(max, Long.parseLong(text)));
    } catch (NumberFormatException e) {
      throw new BadRequestException(name + ": must be a whole number");
    }
  }

  /** Thrown for an invalid request; the message names the field. */
  static final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    BadRequestException(String message) {
      super(message, null, false, false);
    }
  }

  ObjectNode toJson() {
    ObjectNode object = Json.object().put("method", method).put("path", path);
    ObjectNode paramsObject = object.putObject("params");
    params.forEach(paramsObject::put);
    object.set("body", body);
    return object.put("who", caller.name()).put("role", caller.role().label());
  }

  static AdminRequest parse(JsonNode node) {
    Map<String, String> params = new HashMap<>();
    node.path("params")
        .fields()
        .forEachRemaining(e -> params.put(e.getKey(), e.getValue().asText()));
    Role role = Role.fromLabel(node.path("role").asText());
    return role == null
        ? null
        : new AdminRequest(
            node.path("method").asText(),
            node.path("path").asText(),
            params,
            node.path("body"),
            new Caller(node.path("who").asText(), role));
  }
}
