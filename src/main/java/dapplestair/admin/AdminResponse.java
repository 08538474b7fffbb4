package dapplestair.admin;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;

/**
 * A response to an operator.
 *
 * @param status the HTTP status
 * @param body the body in JSON
 * @param retryAfterS seconds after which to retry, or 0 to give no such advice
 */
record AdminResponse(int status, byte[] body, int retryAfterS) {
  static AdminResponse of(JsonNode body) {
    return new AdminResponse(200, Json.bytes(body), 0);
  }

  static AdminResponse error(int status, String message) {
    return new AdminResponse(status, Json.bytes(Json.object().put("error", message)), 0);
  }

  /** Returns a response of status 503 that asks the caller to retry after a second. */
  static AdminResponse retryLater(String message) {
    return new AdminResponse(503, Json.bytes(Json.object().put("error", message)), 1);
  }

  /**
   * Returns the form in which controllers exchange responses: a line with the status and the
   * seconds until a retry, then the unchanged body.
   */
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
