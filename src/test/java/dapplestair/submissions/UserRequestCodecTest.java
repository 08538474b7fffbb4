package dapplestair.submissions;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class UserRequestCodecTest {
  private static final byte[] BODY = {1, 2, 3};

  private static byte[] request(String method, byte[] body) {
    return UserRequestCodec.encode(new UserRequestCodec.Request(method, "/submissions/wk-1", body));
  }

  @Test
  void messagesComeBackAsTheyWere() {
    UserRequestCodec.Request request = UserRequestCodec.request(request("GET", BODY));
    assertEquals("GET", request.method());
    assertEquals("/submissions/wk-1", request.path());
    assertArrayEquals(BODY, request.body());
    UserRequestCodec.Response response =
        UserRequestCodec.answer(
            UserRequestCodec.encode(new UserRequestCodec.Response(503, 2, BODY)));
    assertEquals(503, response.status());
    assertEquals(2, response.retryAfterS());
    assertArrayEquals(BODY, response.body());
  }

  /** Whatever comes, nothing is thrown; forms, sizes and methods that are not ours are refused. */
  @Test
  void whatIsNotOursIsRefused() {
    SplittableRandom random = new SplittableRandom(1);
    byte[] good = request("POST", new byte[200]);
    for (int i = 0; i < 5000; i++) {
      byte[] bad = good.clone();
      for (int k = 0; k < 4; k++) {
        bad[random.nextInt(bad.length)] = (byte) random.nextInt(256);
      }
      bad = Arrays.copyOf(bad, random.nextInt(bad.length + 1));
      UserRequestCodec.request(bad);
      UserRequestCodec.answer(bad);
    }
    assertNull(UserRequestCodec.request(Arrays.copyOf(good, good.length - 1)), "cut short");
    assertNull(
        UserRequestCodec.request(Arrays.copyOf(good, good.length + 1)), "something after it");
    assertNull(UserRequestCodec.request(request("DELETE", BODY)), "no user's method");
    assertNull(request("POST", new byte[64 * 1024 + 1]), "too large");
    assertNull(
        UserRequestCodec.answer(
            UserRequestCodec.encode(new UserRequestCodec.Response(200, 31, BODY))),
        "too long");
    good[0] = UserRequestCodec.FORM + 1;
    assertNull(UserRequestCodec.request(good), "another form");
  }
}
