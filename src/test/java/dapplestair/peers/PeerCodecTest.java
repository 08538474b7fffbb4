package dapplestair.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class PeerCodecTest {
  private final PeerCodec codec = new PeerCodec();

  @Test
  void decodesEncodedMessages() {
    PeerStatus status = new PeerStatus(7, "node-1", true, false, 12, 3.5f);
    assertEquals(status, codec.decode(codec.encode(status)));
    assertEquals(new PeerHello("node-2"), codec.decode(codec.encode(new PeerHello("node-2"))));
    byte[] body = {1, 2, 3};
    PeerAsk ask = (PeerAsk) codec.decode(codec.encode(new PeerAsk(9, "admin", body)));
    assertEquals("admin", ask.topic());
    assertArrayEquals(body, ask.body());
    PeerAnswer answer = (PeerAnswer) codec.decode(codec.encode(new PeerAnswer(9, body)));
    assertEquals(9, answer.number());
    assertArrayEquals(body, answer.body());
  }

  /** Decoding corrupted frames must not throw, and frames of another version must be refused. */
  @Test
  void corruptedFramesDoNotThrowAndOtherVersionsAreRefused() {
    SplittableRandom random = new SplittableRandom(1);
    byte[] good = codec.encode(new PeerAsk(1, "admin", new byte[200]));
    for (int i = 0; i < 5000; i++) {
      byte[] bad = good.clone();
      for (int k = 0; k < 4; k++) {
        bad[random.nextInt(bad.length)] = (byte) random.nextInt(256);
      }
      codec.decode(java.util.Arrays.copyOf(bad, random.nextInt(bad.length + 1)));
    }
    good[0] = PeerCodec.VERSION - 1;
    assertNull(codec.decode(good));
  }
}
