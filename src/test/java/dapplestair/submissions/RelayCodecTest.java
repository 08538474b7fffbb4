package dapplestair.submissions;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RelayCodecTest {
  private static final byte[] BODY = {1, 2, 3};

  private static byte[] request(String method, byte[] body) {
    return RelayCodec.encode(new RelayCodec.Request(method, "/submissions/wk-1", body));
  }

  @Test
  void messagesComeBackAsTheyWere() {
    RelayCodec.Request request = RelayCodec.request(request("GET", BODY));
    assertEquals("GET", request.method());
    assertEquals("/submissions/wk-1", request.path());
    assertArrayEquals(BODY, request.body());
    RelayCodec.Answer answer =
        RelayCodec.answer(RelayCodec.encode(new RelayCodec.Answer(503, 2, BODY)));
    assertEquals(503, answer.status());
    assertEquals(2, answer.retryAfterS());
    assertArrayEquals(BODY, answer.body());
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
      RelayCodec.request(bad);
      RelayCodec.answer(bad);
    }
    assertNull(RelayCodec.request(Arrays.copyOf(good, good.length - 1)), "cut short");
    assertNull(RelayCodec.request(Arrays.copyOf(good, good.length + 1)), "something after it");
    assertNull(RelayCodec.request(request("DELETE", BODY)), "no user's method");
    assertNull(request("POST", new byte[64 * 1024 + 1]), "too large");
    assertNull(
        RelayCodec.answer(RelayCodec.encode(new RelayCodec.Answer(200, 31, BODY))), "too long");
    good[0] = RelayCodec.FORM + 1;
    assertNull(RelayCodec.request(good), "another form");
  }
}
