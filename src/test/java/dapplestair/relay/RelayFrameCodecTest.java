package dapplestair.relay;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import dapplestair.relay.RelayFrameCodec.Frame;
import dapplestair.relay.RelayFrameCodec.Reply;
import dapplestair.relay.RelayFrameCodec.Request;
import dapplestair.relay.RelayFrameCodec.RequestKind;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests that relay frames that are malformed, too large or of another version are refused. */
class RelayFrameCodecTest {
  private static final byte[] BODY = {1, 2, 3};

  private static Frame frame() {
    return new Frame(
        7,
        -8,
        List.of(
            new Request(1, RequestKind.REPORT, "", 2500, BODY),
            new Request(2, RequestKind.COMMAND, "10.1.0.1:9000", 300, new byte[0])),
        List.of(new Reply(3, 200, BODY), new Reply(4, -1, new byte[0])));
  }

  @Test
  void decodesEncodedFrame() {
    Frame read = RelayFrameCodec.decode(RelayFrameCodec.encode(frame()));
    assertNotNull(read);
    assertEquals(7, read.sender());
    assertEquals(-8, read.receiver());
    assertEquals(RequestKind.REPORT, read.requests().get(0).kind());
    assertArrayEquals(BODY, read.requests().get(0).body());
    assertEquals("10.1.0.1:9000", read.requests().get(1).endpoint());
    assertEquals(300, read.requests().get(1).timeoutMs());
    assertEquals(-1, read.replies().get(1).status());
  }

  @Test
  void refusesMalformedFrames() {
    byte[] good = RelayFrameCodec.encode(frame());
    assertNull(RelayFrameCodec.decode(new byte[0]));
    for (int length = 1; length < good.length; length++) {
      assertNull(RelayFrameCodec.decode(Arrays.copyOf(good, length)), "cut to " + length);
    }
    byte[] longer = Arrays.copyOf(good, good.length + 1);
    assertNull(RelayFrameCodec.decode(longer));
    byte[] otherVersion = good.clone();
    otherVersion[0]++;
    assertNull(RelayFrameCodec.decode(otherVersion));
    assertNull(RelayFrameCodec.decode(new byte[RelayFrameCodec.MAX_FRAME_BYTES + 1]));
    Reply reply = new Reply(1, 200, BODY);
    List<Reply> tooMany = Collections.nCopies(RelayFrameCodec.MAX_ITEMS + 1, reply);
    assertNull(RelayFrameCodec.decode(RelayFrameCodec.encode(new Frame(1, 1, List.of(), tooMany))));
    byte[] large = new byte[RelayFrameCodec.MAX_FRAME_BYTES];
    assertNull(
        RelayFrameCodec.encode(new Frame(1, 1, List.of(), List.of(new Reply(1, 200, large)))));
  }

  /** Decoding corrupted frames must not throw, as that could end the process. */
  @Test
  void corruptedFramesDoNotThrow() {
    SplittableRandom random = new SplittableRandom(11);
    byte[] good = RelayFrameCodec.encode(frame());
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = good.clone();
      for (int k = 0; k < 3; k++) {
        bytes[random.nextInt(1, bytes.length)] = (byte) random.nextInt(256);
      }
      RelayFrameCodec.decode(bytes);
    }
  }
}
