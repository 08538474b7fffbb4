package dapplestair.admin;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;

/** What is told; {@code retryAfterS} 0 for no advice. */
record AdminResponse(int status, byte[] body, int retryAfterS) {
  static AdminResponse of(JsonNode body) {
    return new AdminResponse(200, Json.bytes(body), 0);
  }

  static AdminResponse error(int status, String why) {
    return new AdminResponse(status, Json.bytes(Json.object().put("error", why)), 0);
  }

  /** Not now: ask again soon. */
  static AdminResponse later(String why) {
    return new AdminResponse(503, Json.bytes(Json.object().put("error", why)), 1);
  }

  /** The form between controllers: a line of numbers, then the body as it is. */
  byte[] frame() {
    byte[] head =
        (status + " " + retryAfterS + "\n").getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    byte[] out = java.util.Arrays.copyOf(head, head.length + body.length);
    System.arraycopy(body, 0, out, head.length, body.length);
    return out;
  }

  static AdminResponse parse(byte[] frame) {
    int end = 0;
    while (end < frame.length && frame[end] != '\n') {
      end++;
    }
    String[] head =
        new String(frame, 0, end, java.nio.charset.StandardCharsets.US_ASCII).split(" ");
    try {
      return new AdminResponse(
          Integer.parseInt(head[0]),
          java.util.Arrays.copyOfRange(frame, Math.min(frame.length, end + 1), frame.length),
          Integer.parseInt(head[1]));
    } catch (RuntimeException e) {
      return later("the leader's answer was garbled");
    }
  }
}
