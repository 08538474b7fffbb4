package dapplestair.submissions;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class UserRequestCodecTest {
  private static final byte[] BODY = {1, 2, 3};

  private static byte[] encodedRequest(String method, byte[] body) {
    return UserRequestCodec.encode(new UserRequestCodec.Request(method, "/submissions/wk-1", body));
  }

  @Test
  void decodedMessagesEqualTheEncodedOnes() {
    UserRequestCodec.Request request = UserRequestCodec.decodeRequest(encodedRequest("GET", BODY));
    assertEquals("GET", request.method());
    assertEquals("/submissions/wk-1", request.path());
    assertArrayEquals(BODY, request.body());
    UserRequestCodec.Response response =
        UserRequestCodec.decodeResponse(
            UserRequestCodec.encode(new UserRequestCodec.Response(503, 2, BODY)));
    assertEquals(503, response.status());
    assertEquals(2, response.retryAfterS());
    assertArrayEquals(BODY, response.body());
  }

  /**
   * Guards against exceptions from corrupted messages, and against messages with another format
   * version, size or method being accepted.
   */
  @Test
  void invalidMessagesAreRejectedWithoutExceptions() {
    SplittableRandom random = new SplittableRandom(1);
    byte[] validRequest = encodedRequest("POST", new byte[200]);
    for (int i = 0; i < 5000; i++) {
      byte[] corrupted = validRequest.clone();
      for (int k = 0; k < 4; k++) {
        corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
      }
      corrupted = Arrays.copyOf(corrupted, random.nextInt(corrupted.length + 1));
      UserRequestCodec.decodeRequest(corrupted);
      UserRequestCodec.decodeResponse(corrupted);
    }
    assertNull(
        UserRequestCodec.decodeRequest(Arrays.copyOf(validRequest, validRequest.length - 1)),
        "truncated message");
    assertNull(
        UserRequestCodec.decodeRequest(Arrays.copyOf(validRequest, validRequest.length + 1)),
        "trailing byte");
    assertNull(
        UserRequestCodec.decodeRequest(encodedRequest("DELETE", BODY)),
        "method that users do not use");
    assertNull(encodedRequest("POST", new byte[64 * 1024 + 1]), "body above the maximum size");
    assertNull(
        UserRequestCodec.decodeResponse(
            UserRequestCodec.encode(new UserRequestCodec.Response(200, 31, BODY))),
        "retry-after above the maximum");
    validRequest[0] = UserRequestCodec.FORMAT_VERSION + 1;
    assertNull(UserRequestCodec.decodeRequest(validRequest), "another format version");
  }
}
