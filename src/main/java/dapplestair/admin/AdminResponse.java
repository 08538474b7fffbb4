package dapplestair.admin;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;

/** What is told; {@code retryAfterS} 0 for no advice. */
record AdminResponse(int status, byte[] body, int retryAfterS) {
  static AdminResponse of(JsonNode body) {
    return new AdminResponse(200, Json.bytes(body), 0);
  }

  static AdminResponse error(int status, String message) {
    return new AdminResponse(status, Json.bytes(Json.object().put("error", message)), 0);
  }

  /** Not now: ask again soon. */
  static AdminResponse retryLater(String message) {
    return new AdminResponse(503, Json.bytes(Json.object().put("error", message)), 1);
  }

  /** The form between controllers: a line of numbers, then the body as it is. */
  byte[] toFrame() {
    byte[] head =
        (status + " " + retryAfterS + "\n").getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    byte[] frame = java.util.Arrays.copyOf(head, head.length + body.length);
    System.arraycopy(body, 0, frame, head.length, body.length);
    return frame;
  }

  static AdminResponse parse(byte[] frame) {
    int headEnd = 0;
    while (headEnd < frame.length && frame[headEnd] != '\n') {
      headEnd++;
    }
    String[] head =
        new String(frame, 0, headEnd, java.nio.charset.StandardCharsets.US_ASCII).split(" ");
    try {
      return new AdminResponse(
          Integer.parseInt(head[0]),
          java.util.Arrays.copyOfRange(frame, Math.min(frame.length, headEnd + 1), frame.length),
          Integer.parseInt(head[1]));
    } catch (RuntimeException e) {
      return retryLater("the leader's answer was garbled");
    }
  }
}
