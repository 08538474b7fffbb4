package dapplestair.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HexFormat;
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

  /**
   * Guards against a request or answer that a peer of the former version cannot read: these frames
   * were encoded by it, and request numbers now use all their bytes.
   */
  @Test
  void framesAreThoseOfTheFormerVersion() {
    HexFormat hex = HexFormat.of();
    byte[] body = {1, 2, 3};
    assertEquals(
        "030e040102031261646d69ee", hex.formatHex(codec.encode(new PeerAsk(9, "admin", body))));
    assertEquals("030f0401020312", hex.formatHex(codec.encode(new PeerAnswer(9, body))));
    long largest = (1L << 62) - 1;
    byte[] ask = hex.parseHex("030e04010203feffffffffffffff7f61646d69ee");
    assertEquals(largest, ((PeerAsk) codec.decode(ask)).number());
    byte[] answer = hex.parseHex("030f04010203feffffffffffffff7f");
    assertEquals(largest, ((PeerAnswer) codec.decode(answer)).number());
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
